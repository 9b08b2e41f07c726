package host

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime/pprof"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"flaxcove/internal/cluster/view"
	"flaxcove/lab/scale/fleet"
)

// host runs the members of one process. Orders are carried out one at a time.
type host struct {
	spec    Spec
	fleet   *fleet.Fleet
	log     *zap.Logger
	members map[int]*member
	// separated holds the members on the other side of a cut, fallen the zones whose endpoints do not answer. Both are
	// replaced as a whole.
	separated atomic.Pointer[map[view.Name]bool]
	fallen    atomic.Pointer[[]int]
}

// maxLine bounds an order or answer.
const maxLine = 16 << 20

// Main serves one parent: it reads a Spec and then orders, until the input ends.
func Main(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLine)
	if !lines.Scan() {
		return fmt.Errorf("no spec: %w", lines.Err())
	}
	h := &host{members: map[int]*member{}}
	if err := json.Unmarshal(lines.Bytes(), &h.spec); err != nil {
		return fmt.Errorf("spec: %w", err)
	}
	if err := h.open(); err != nil {
		return err
	}
	defer h.closeAll()
	if h.spec.Profile != "" {
		file, err := os.Create(h.spec.Profile)
		if err != nil {
			return err
		}
		defer file.Close()
		if err := pprof.StartCPUProfile(file); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	answers := json.NewEncoder(out)
	for lines.Scan() {
		var order Order
		if err := json.Unmarshal(lines.Bytes(), &order); err != nil {
			return fmt.Errorf("order: %w", err)
		}
		if err := answers.Encode(h.answer(&order)); err != nil {
			return err
		}
	}
	return lines.Err()
}

func (h *host) open() (err error) {
	h.fleet = fleet.Plan(h.spec.Fleet)
	h.log = zap.NewNop()
	if h.spec.Log != "" {
		if h.log, err = logTo(h.spec.Log); err != nil {
			return err
		}
	}
	h.separated.Store(&map[view.Name]bool{})
	h.fallen.Store(&[]int{})
	for _, no := range h.spec.Members {
		if no < 0 || no >= len(h.fleet.Members) {
			return fmt.Errorf("spec: there is no member %d", no)
		}
		h.members[no] = &member{host: h, no: no}
	}
	return nil
}

func logTo(path string) (*zap.Logger, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, zapcore.AddSync(file), zap.InfoLevel)), nil
}

// clock is the run's time in seconds.
func (h *host) clock() float64 { return time.Since(time.Unix(0, h.spec.Began)).Seconds() }

func (h *host) zoneFell(zone int) bool { return slices.Contains(*h.fallen.Load(), zone) }

// answer carries out an order.
func (h *host) answer(order *Order) (a Answer) {
	switch order.Do {
	case Start:
		a.Error = h.each(order.Members, (*member).start)
	case Kill:
		a.Error = h.each(order.Members, (*member).kill)
	case Stop:
		a.Error = h.each(order.Members, (*member).stop)
	case Cut:
		h.cut(order.Apart)
	case Fall:
		h.fallen.Store(&order.Zones)
	case State:
		for _, m := range h.ordered() {
			a.States = append(a.States, m.state())
		}
	case Applied:
		a.Applied = h.applied(order)
	case Measure:
		used := measure(false)
		a.Used, a.Volumes = &used, map[int]MemberTraffic{}
		for no, m := range h.members {
			a.Volumes[no] = m.traffic()
		}
	case Memory:
		used := measure(true)
		a.Used, a.Heap = &used, heapByPart()
	default:
		a.Error = fmt.Sprintf("unknown order %q", order.Do)
	}
	return a
}

// cut separates members from all others, or none.
func (h *host) cut(nos []int) {
	apart := map[view.Name]bool{}
	for _, no := range nos {
		apart[h.fleet.Members[no].Name] = true
	}
	h.separated.Store(&apart)
}

// applied is when each member applied the purge or the version of an order; members that have not are left out.
func (h *host) applied(order *Order) map[int]time.Time {
	times := map[int]time.Time{}
	for no, m := range h.members {
		if at := m.appliedAt(order); !at.IsZero() {
			times[no] = at
		}
	}
	return times
}

// ordered returns the members in the order of the spec.
func (h *host) ordered() (all []*member) {
	for _, no := range h.spec.Members {
		all = append(all, h.members[no])
	}
	return all
}

// each calls do on members concurrently and describes the first error.
func (h *host) each(nos []int, do func(*member) error) string {
	if len(nos) == 0 {
		nos = h.spec.Members
	}
	problems := make([]error, len(nos))
	var all sync.WaitGroup
	for i, no := range nos {
		m := h.members[no]
		if m == nil {
			return fmt.Sprintf("member %d does not live here", no)
		}
		all.Go(func() { problems[i] = do(m) })
	}
	all.Wait()
	for i, err := range problems {
		if err != nil {
			return fmt.Sprintf("member %d: %v", nos[i], err)
		}
	}
	return ""
}

func (h *host) closeAll() { h.each(nil, (*member).kill) }

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

// host runs the hollow members of one process. It executes one order at a time.
type host struct {
	spec    Spec
	fleet   *fleet.Fleet
	log     *zap.Logger
	members map[int]*member
	// separated holds the members on one side of a cut, failedZones the numbers of the zones whose endpoints do not answer.
	// The values are immutable: a new order replaces them.
	separated   atomic.Pointer[map[view.Name]bool]
	failedZones atomic.Pointer[[]int]
}

// maxLine is the largest length of an order in bytes.
const maxLine = 16 << 20

// Main runs a host: it reads a Spec and then orders from in, one JSON object a line, and answers each on out. It returns when the
// input ends, after it has killed all members.
func Main(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLine)
	if !lines.Scan() {
		return fmt.Errorf("reading the spec: the input ended: %w", lines.Err())
	}
	h := &host{members: map[int]*member{}}
	if err := json.Unmarshal(lines.Bytes(), &h.spec); err != nil {
		return fmt.Errorf("decoding the spec: %w", err)
	}
	if err := h.setUp(); err != nil {
		return err
	}
	defer h.killAll()
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
			return fmt.Errorf("decoding an order: %w", err)
		}
		if err := answers.Encode(h.execute(&order)); err != nil {
			return err
		}
	}
	return lines.Err()
}

// setUp lays out the fleet, opens the log and creates the members, which do not run yet.
func (h *host) setUp() (err error) {
	h.fleet = fleet.Plan(h.spec.Fleet)
	h.log = zap.NewNop()
	if h.spec.Log != "" {
		if h.log, err = openLog(h.spec.Log); err != nil {
			return err
		}
	}
	h.separated.Store(&map[view.Name]bool{})
	h.failedZones.Store(&[]int{})
	for _, no := range h.spec.Members {
		if no < 0 || no >= len(h.fleet.Members) {
			return fmt.Errorf("spec names member %d, which is not in the fleet", no)
		}
		h.members[no] = &member{host: h, no: no}
	}
	return nil
}

// openLog returns a logger that appends to a file.
func openLog(path string) (*zap.Logger, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, zapcore.AddSync(file), zap.InfoLevel)), nil
}

// clock returns the time of the run in seconds.
func (h *host) clock() float64 { return time.Since(time.Unix(0, h.spec.Began)).Seconds() }

// zoneFails reports whether the endpoints of a zone do not answer.
func (h *host) zoneFails(zone int) bool { return slices.Contains(*h.failedZones.Load(), zone) }

// execute executes an order and returns its answer.
func (h *host) execute(order *Order) (a Answer) {
	switch order.Kind {
	case Start:
		a.Error = h.forEach(order.Members, (*member).start)
	case Kill:
		a.Error = h.forEach(order.Members, (*member).kill)
	case Stop:
		a.Error = h.forEach(order.Members, (*member).stop)
	case Cut:
		h.separate(order.Separated)
	case FailZones:
		h.failedZones.Store(&order.Zones)
	case ReportState:
		for _, m := range h.membersInOrder() {
			a.States = append(a.States, m.state())
		}
	case ReportApplied:
		a.Applied = h.applied(order)
	case ReportUsage:
		used := measure(false)
		a.Usage, a.Traffic = &used, map[int]MemberTraffic{}
		for no, m := range h.members {
			a.Traffic[no] = m.traffic()
		}
	case ReportMemory:
		used := measure(true)
		a.Usage, a.Heap = &used, heapByPart()
	default:
		a.Error = fmt.Sprintf("unknown order %q", order.Kind)
	}
	return a
}

// separate cuts members off from all others, or ends the cut if none are given.
func (h *host) separate(numbers []int) {
	separated := map[view.Name]bool{}
	for _, no := range numbers {
		separated[h.fleet.Members[no].Name] = true
	}
	h.separated.Store(&separated)
}

// applied returns the time at which each member applied the purge or the version of an order. Members that have not applied it
// are left out.
func (h *host) applied(order *Order) map[int]time.Time {
	times := map[int]time.Time{}
	for no, m := range h.members {
		if at := m.appliedAt(order); !at.IsZero() {
			times[no] = at
		}
	}
	return times
}

// membersInOrder returns the members in the order of the spec.
func (h *host) membersInOrder() (all []*member) {
	for _, no := range h.spec.Members {
		all = append(all, h.members[no])
	}
	return all
}

// forEach calls do for the given members, or for all if none are given, concurrently. It returns the text of the first error,
// or "".
func (h *host) forEach(numbers []int, do func(*member) error) string {
	if len(numbers) == 0 {
		numbers = h.spec.Members
	}
	problems := make([]error, len(numbers))
	var all sync.WaitGroup
	for i, no := range numbers {
		m := h.members[no]
		if m == nil {
			return fmt.Sprintf("member %d is not run by this host", no)
		}
		all.Go(func() { problems[i] = do(m) })
	}
	all.Wait()
	for i, err := range problems {
		if err != nil {
			return fmt.Sprintf("member %d: %v", numbers[i], err)
		}
	}
	return ""
}

// killAll kills all members.
func (h *host) killAll() { h.forEach(nil, (*member).kill) }

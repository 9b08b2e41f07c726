package main

// This file is a search, not a case: one sender under random disruptions, judged by what clients, endpoints and the platform
// saw. MODE holds words (kill, term, stop, roll, hup, bad, probe), SEED and SECS numbers. `bin/review2 chaos FOLDER`.

import (
	"fmt"
	"math/rand"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["chaos"] = chaos }

type cmsg struct {
	id, key, class string
	dest           int
	body           string
	sent           time.Time
	d              time.Duration
	answer         string
	answeredAt     time.Time
	seq            int
	// truth
	runs      []time.Time // may have run
	firstZone string
	out       int
	delivered time.Time
	notice    string
	noticeAt  time.Time
	calls     int
	overtaken time.Time
}

type chaosWorld struct {
	sync.Mutex
	r         *run
	rng       *rand.Rand
	msgs      map[string]*cmsg
	byKey     map[string][]*cmsg
	waits     map[int]time.Time // dest -> until
	waitFrom  map[int]time.Time
	told      map[string]time.Time // endpoint id -> removed told at
	breaks    map[string]int
	restarts  [][2]time.Time
	window    time.Duration
	mode      string
	lastStart time.Time
	keyRest   time.Duration
}

func (w *chaosWorld) brk(kind, f string, a ...any) {
	w.breaks[kind]++
	w.r.add("BREAK "+kind+": "+f, a...)
}

func (w *chaosWorld) over(m *cmsg) bool {
	return !m.delivered.IsZero() || m.notice != "" || m.answer != "" && m.answer != "+OK"
}

func (w *chaosWorld) f() float64 { return w.rng.Float64() }

func chaos(r *run) (bool, error) {
	seed := int64(envInt("SEED", 1))
	dur := time.Duration(envInt("SECS", 40)) * time.Second
	w := &chaosWorld{r: r, rng: rand.New(rand.NewSource(seed)), msgs: map[string]*cmsg{}, byKey: map[string][]*cmsg{}, waits: map[int]time.Time{}, waitFrom: map[int]time.Time{},
		told: map[string]time.Time{}, breaks: map[string]int{}, window: 2 * time.Second, mode: os.Getenv("MODE"), keyRest: 300 * time.Millisecond}
	has := func(s string) bool { return strings.Contains(w.mode, s) }
	noticef := func(o outcome) {
		w.Lock()
		defer w.Unlock()
		m := w.msgs[o.Message]
		if m == nil && o.Message[0] == 'x' {
			return
		}
		if m == nil {
			w.brk("unknown", "notice for %s", o.Message)
			return
		}
		if m.notice != "" && m.notice != o.Outcome {
			w.brk("two ends", "%s: %s then %s", m.id, m.notice, o.Outcome)
		}
		if m.notice == "" {
			m.notice, m.noticeAt = o.Outcome, time.Now()
		}
		if o.Outcome == "handed_back" && len(m.runs) > 0 && m.class != "pure" && m.class != "pureord" {
			w.brk("handed back after run", "%s %s", m.id, m.class)
		}
	}
	a, err := newAgent(r.record, noticef)
	if err != nil {
		return false, err
	}
	nd := 6
	zones := []string{"za", "zb"}
	var dests []int
	mk := func(id string, dest int, zone, kind string) error {
		e, err := newEndpoint("", nil)
		if err != nil {
			return err
		}
		e.handle = func(c *call) (string, bool) { return w.handle(id, dest, zone, kind, c) }
		a.set(entry{ID: id, Addr: e.addr, Zone: zone, Kind: kind, Cell: dest, State: "up", Weight: 40})
		return nil
	}
	for d := range nd {
		kind := "small"
		if d%2 == 0 {
			kind = "bulk"
		}
		dests = append(dests, d)
		for i := range 1 + w.rng.Intn(3) {
			if err := mk(fmt.Sprintf("e%d-%d", d, i), d, zones[i%2], kind); err != nil {
				return false, err
			}
		}
	}
	set := settings()
	set["zones"] = zones
	set["weights"] = "rough"
	ms := time.Millisecond
	mkc := func(name, kind, group string, dl time.Duration, ord bool) map[string]any {
		c := class(name, kind, 800*ms, dl, 1)
		c["group"], c["byArrival"], c["repeatWindow"] = group, ord, w.window
		return c
	}
	set["classes"] = []any{mkc("pure", "pure", "all", 5*time.Second, false), mkc("once", "side_effect", "all", 6*time.Second, false), mkc("keyed", "token", "all", 6*time.Second, false),
		mkc("zone", "token", "zone", 6*time.Second, false), mkc("pureord", "pure", "all", 6*time.Second, true), mkc("onceord", "side_effect", "all", 6*time.Second, true), mkc("zoneord", "token", "zone", 6*time.Second, true)}
	set["rules"].(map[string]any)["keyRest"] = w.keyRest
	set["bounds"].(map[string]any)["probing"] = has("probe")
	s := r.sender("s0")
	if err := s.configure(configuration(s, a, set, smallLimits())); err != nil {
		return false, err
	}
	if err := s.start(); err != nil {
		return false, err
	}
	w.lastStart = time.Now()
	stop := time.Now().Add(dur)
	var wg sync.WaitGroup
	names := []string{"pure", "once", "keyed", "zone", "pureord", "onceord", "zoneord"}
	var n int
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewSource(seed*100 + int64(i)))
			var c *client
			for time.Now().Before(stop) {
				time.Sleep(time.Duration(rng.ExpFloat64() * 80 * 1e6))
				w.Lock()
				n++
				m := &cmsg{id: fmt.Sprintf("m%06d", n), class: names[rng.Intn(len(names))], dest: dests[rng.Intn(len(dests))], seq: n}
				m.d = time.Duration(300+rng.Intn(5500)) * ms
				if rng.Intn(4) == 0 {
					m.d = time.Duration(30+rng.Intn(600)) * ms
				}
				m.key = "0000000000000000"
				if strings.HasSuffix(m.class, "ord") {
					m.key = fmt.Sprintf("%016x", i*10+rng.Intn(3)+1)
				}
				size := 20
				if rng.Intn(10) == 0 {
					size = rng.Intn(20000)
				}
				m.body = m.id + strings.Repeat("b", size)
				m.sent = time.Now()
				w.msgs[m.id] = m
				if m.key != "0000000000000000" {
					w.byKey[m.key] = append(w.byKey[m.key], m)
				}
				w.Unlock()
				if c == nil {
					if c, err = dialClient(s.listen); err != nil {
						c = nil
						w.Lock()
						m.answer = "no connection"
						w.Unlock()
						time.Sleep(50 * ms)
						continue
					}
				}
				ans, err := c.do(addCommand(m.key, m.id, m.class, int(m.d/ms), m.dest, m.body), 400*ms)
				w.Lock()
				if err != nil {
					m.answer = "none: " + err.Error()
					c.conn.Close()
					c = nil
				} else {
					m.answer = ans
					m.answeredAt = time.Now()
				}
				w.Unlock()
			}
		}()
	}
	if has("bad") {
		for i := range 30 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				rng := rand.New(rand.NewSource(seed*1000 + int64(i)))
				for time.Now().Before(stop) {
					time.Sleep(time.Duration(rng.Intn(100)) * ms)
					badClient(s.listen, rng, func() string {
						w.Lock()
						defer w.Unlock()
						for range 30 {
							id := fmt.Sprintf("m%06d", max(1, n-rng.Intn(100)))
							if m := w.msgs[id]; m != nil && m.answer == "+OK" {
								return id
							}
						}
						return "x1"
					})
				}
			}()
		}
	}
	// disruptions
	for time.Now().Before(stop) {
		time.Sleep(time.Duration((1 + 3*w.rf()) * 1e9))
		if has("kill") && w.rf() < 0.5 {
			t := time.Now()
			s.signal(syscall.SIGKILL)
			<-s.ended
			time.Sleep(600 * ms)
			if err := s.start(); err != nil {
				return false, err
			}
			w.Lock()
			w.restarts = append(w.restarts, [2]time.Time{t, time.Now().Add(1500 * ms)})
			w.lastStart = time.Now()
			w.Unlock()
		}
		if has("term") && w.rf() < 0.4 {
			t := time.Now()
			s.signal(syscall.SIGTERM)
			select {
			case <-s.ended:
			case <-time.After(3700 * ms):
				s.signal(syscall.SIGKILL)
				<-s.ended
			}
			time.Sleep(600 * ms)
			if err := s.start(); err != nil {
				return false, err
			}
			w.Lock()
			w.restarts = append(w.restarts, [2]time.Time{t, time.Now().Add(1500 * ms)})
			w.lastStart = time.Now()
			w.Unlock()
		}
		if has("stop") && w.rf() < 0.5 {
			s.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(envInt("STOPMS", 150)) * ms)
			s.signal(syscall.SIGCONT)
		}
		if has("roll") && w.rf() < 0.6 {
			w.Lock()
			d := w.rng.Intn(nd)
			kind := "small"
			if d%2 == 0 {
				kind = "bulk"
			}
			z := zones[w.rng.Intn(2)]
			w.Unlock()
			a.mu.Lock()
			var old []entry
			for _, e := range a.servers {
				if e.Cell == d && e.State == "up" {
					old = append(old, e)
				}
			}
			a.mu.Unlock()
			if len(old) > 0 {
				e := old[0]
				e.State = "draining"
				if w.rf() < 0.5 {
					e.State = "removed"
				}
				a.set(e)
				w.Lock()
				w.told[e.ID] = time.Now()
				w.Unlock()
				if err := mk(fmt.Sprintf("e%d-n%d", d, time.Now().UnixNano()%1e6), d, z, kind); err != nil {
					return false, err
				}
			}
		}
		if has("hup") && w.rf() < 0.4 {
			b, err := newAgent(r.record, noticef)
			if err != nil {
				return false, err
			}
			a.mu.Lock()
			for id, e := range a.servers {
				b.servers[id], b.changed[id] = e, a.changed[id]
			}
			b.version = a.version
			a.mu.Unlock()
			a = b
			s.configure(configuration(s, a, set, smallLimits()))
			s.signal(syscall.SIGHUP)
			w.Lock()
			for id := range w.told {
				if time.Since(w.told[id]) < 5*time.Second {
					w.told[id] = w.told[id].Add(4 * time.Second)
				}
			}
			w.Unlock()
		}
		if s.hasEnded() {
			w.brk("crash", "sender ended: %v", s.err)
			break
		}
	}
	wg.Wait()
	time.Sleep(7 * time.Second)
	w.Lock()
	defer w.Unlock()
	counts := map[string]int{}
	for _, m := range w.msgs {
		if m.answer != "+OK" {
			counts[strings.Fields(m.answer + " x")[0]]++
			continue
		}
		due := m.sent.Add(m.d + 500*ms)
		for range 3 {
			for _, rs := range w.restarts {
				if due.After(rs[0]) && due.Before(rs[1]) {
					due = rs[1]
				}
			}
		}
		if !m.overtaken.IsZero() && (m.noticeAt.IsZero() || m.noticeAt.After(m.overtaken.Add(400*ms))) {
			w.brk("order", "%s overtaken, over %v later", m.id, m.noticeAt.Sub(m.overtaken))
		}
		end := m.delivered
		if end.IsZero() || !m.noticeAt.IsZero() && m.noticeAt.Before(end) {
			end = m.noticeAt
		}
		switch {
		case end.IsZero():
			w.brk("lost", "%s %s never ended, calls %d", m.id, m.class, m.calls)
		case end.After(due):
			w.brk("late", "%s %s ended %v late, calls %d", m.id, m.class, end.Sub(due), m.calls)
		}
		if !m.delivered.IsZero() {
			counts["delivered"]++
		} else {
			counts[m.notice]++
		}
	}
	fmt.Println("seed", seed, counts, "breaks", w.breaks)
	return len(w.breaks) > 0, nil
}

func (w *chaosWorld) rf() float64 {
	w.Lock()
	defer w.Unlock()
	return w.rng.Float64()
}

// handle is an endpoint's work on a call.
func (w *chaosWorld) handle(id string, dest int, zone, kind string, c *call) (string, bool) {
	now := c.at
	ms := time.Millisecond
	w.Lock()
	if t, told := w.told[id]; told && now.After(t.Add(560*ms)) {
		w.brk("drain", "call to %s %v after it was told", id, now.Sub(t))
	}
	if from, ok := w.waitFrom[dest]; ok && now.After(from.Add(110*ms)) && now.Before(w.waits[dest].Add(-5*ms)) && w.lastStart.Before(from) {
		w.brk("wait", "call to dest %d, %v before the wait's end, told %v ago; %v", dest, w.waits[dest].Sub(now), now.Sub(from), c.items[0].ID)
	}
	if len(c.items) > 10 {
		w.brk("bulk size", "%d", len(c.items))
	}
	var list []*cmsg
	for _, it := range c.items {
		m := w.msgs[it.ID]
		if m == nil && it.ID[0] == 'x' {
			continue
		}
		if m == nil || m.dest != dest || m.body != string(it.Body) {
			w.brk("foreign", "%s at %s", it.ID, id)
			continue
		}
		list = append(list, m)
		m.calls++
		if m.out > 0 {
			w.brk("two copies", "%s", m.id)
		}
		if m.notice != "" {
			w.brk("sent after end", "%s %s %v later", m.id, m.notice, now.Sub(m.noticeAt))
		}
		if len(m.runs) > 0 {
			switch m.class {
			case "once", "onceord":
				w.brk("duplicate", "%s %s", m.id, m.class)
			case "keyed", "zone", "zoneord":
				if now.Sub(m.runs[0]) > w.window+50*ms {
					w.brk("window", "%s %v after", m.id, now.Sub(m.runs[0]))
				}
				if m.class != "keyed" && zone != m.firstZone {
					w.brk("zone", "%s ran in %s, now %s", m.id, m.firstZone, zone)
				}
			}
		}
		if strings.HasSuffix(m.class, "ord") {
			for _, o := range w.byKey[m.key] {
				if o == m {
					break
				}
				if o.answer == "+OK" && !w.over(o) && !o.answeredAt.After(m.sent) {
					o.overtaken = now
				}
				if o.out > 0 {
					w.brk("order out", "%s sent while %s is out (%s d=%v)", m.id, o.id, o.class, o.d)
				}
			}
		}
	}
	for _, m := range list {
		m.out++
	}
	f := w.rng.Float64()
	lat := time.Duration(w.rng.ExpFloat64()*100) * ms
	if w.rng.Float64() < 0.05 {
		lat += time.Duration(w.rng.Intn(3000)) * ms
	}
	ra := time.Duration(300+w.rng.Intn(1500)) * ms
	run := func() {
		for _, m := range list {
			if len(m.runs) == 0 {
				m.firstZone = zone
			}
			m.runs = append(m.runs, now)
		}
	}
	notRun := f < 0.14
	if !notRun {
		run()
	}
	g := make([]float64, len(list))
	for i := range g {
		g[i] = w.rng.Float64()
	}
	w.Unlock()
	defer func() {
		w.Lock()
		for _, m := range list {
			m.out--
		}
		w.Unlock()
	}()
	wait := func(d time.Duration) bool { // false if the connection ended meanwhile
		until := time.Now().Add(d)
		for time.Now().Before(until) {
			c.conn.SetReadDeadline(time.Now().Add(20 * ms))
			var b [1]byte
			if _, err := c.conn.Read(b[:]); err != nil {
				if ne, ok := err.(net.Error); ok && ne.Timeout() {
					continue
				}
				return false
			}
		}
		c.conn.SetReadDeadline(time.Time{})
		return true
	}
	tellWait := func() string {
		w.Lock()
		w.waits[dest] = time.Now().Add(ra)
		w.waitFrom[dest] = time.Now()
		w.Unlock()
		return fmt.Sprintf("Retry-After: %.3f\r\n", ra.Seconds())
	}
	switch {
	case f < 0.06:
		return status(503, ""), true
	case f < 0.11:
		return status(429, tellWait()), true
	case f < 0.14:
		return status([]int{504, 400, 413}[int(f*1000)%3], ""), true
	case f < 0.17: // hang
		wait(20 * time.Second)
		return "", false
	case f < 0.20: // reset
		wait(lat)
		c.conn.(*net.TCPConn).SetLinger(0)
		return "", false
	case f < 0.23: // spoilt
		wait(lat)
		return []string{"noise noise\r\n", "HTTP/1.1 5", "HTTP/1.1 500 X\r\nContent-Length: zz\r\n\r\n", "HTTP/1.1 500 X\r\nX: y"}[int(f*1000)%4], true
	case f < 0.27:
		wait(lat)
		return status(500, ""), true
	}
	if !wait(lat) {
		return "", false
	}
	pre := ""
	if f > 0.95 {
		pre = "HTTP/1.1 102 Processing\r\n\r\n"
	}
	w.Lock()
	defer w.Unlock()
	if !c.bulk {
		if len(list) > 0 {
			list[0].delivered = time.Now()
		}
		return pre + status(200, ""), true
	}
	st := map[string]string{}
	hdr := ""
	for _, it := range c.items {
		st[it.ID] = "ok"
	}
	for i, m := range list {
		switch {
		case g[i] < 0.1:
			st[m.id] = "later"
			m.runs = m.runs[:len(m.runs)-1]
		case g[i] < 0.15:
			st[m.id] = "error"
		case g[i] < 0.2:
			st[m.id] = "exhausted"
			m.runs = m.runs[:len(m.runs)-1]
		default:
			m.delivered = time.Now()
		}
		if st[m.id] == "later" && hdr == "" && g[i] < 0.07 {
			w.waits[dest], w.waitFrom[dest] = time.Now().Add(ra), time.Now()
			hdr = fmt.Sprintf("Retry-After: %.3f\r\n", ra.Seconds())
		}
	}
	return pre + states(hdr, st), true
}

// envInt returns a number from the environment.
func envInt(name string, fallback int) int {
	if v, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return v
	}
	return fallback
}

package choice

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
)

// town is a host with a steady load, whose calls end by what is drawn from their ids; it checks what it is asked for.
type town struct {
	t      *testing.T
	s      *Sender
	clock  Time
	events []townEvent // by time; emptied as they happen
	tries  map[MessageID]int
	ends   map[MessageID]int // answers
	trace  []string
}

type townEvent struct {
	at    Time
	what  func()
	timer TimerID
}

func (w *town) at(at Time, timer TimerID, what func()) {
	e := townEvent{max(at, w.clock), what, timer}
	i, _ := slices.BinarySearchFunc(w.events, e, func(a, b townEvent) int { return int(min(1, max(-1, a.at-b.at))) })
	for i < len(w.events) && w.events[i].at == e.at {
		i++
	}
	w.events = slices.Insert(w.events, i, e)
}

// run plays until a time; all that happens at one moment is one turn.
func (w *town) run(until Time) {
	for len(w.events) > 0 && w.events[0].at <= until {
		w.clock = w.events[0].at
		for len(w.events) > 0 && w.events[0].at == w.clock {
			e := w.events[0]
			w.events = w.events[1:]
			e.what()
		}
		w.s.TurnEnd()
	}
	w.clock = until
}

func (w *town) log(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%d ", w.clock)+fmt.Sprintf(format, args...))
}

// outage tells whether b is down; so it is in every minute.
func (w *town) outage() bool {
	since := w.clock % townQuiet
	return since > 4*Second && since < 9*Second
}

// drawn is in [0, 1), by what a thing is called.
func drawn(of ...any) float64 {
	h := fnv.New64a()
	fmt.Fprint(h, of...)
	return float64(h.Sum64()>>11) / (1 << 53)
}

func (w *town) Now() Time                          { return w.clock }
func (w *town) Allowed(MessageID, EndpointID) bool { return true }

func (w *town) Attempt(id MessageID, to EndpointID, timeOut Time) {
	w.tries[id]++
	w.log("dispatch %s to %s within %d", id, to, timeOut)
	w.within(w.s.held[id], w.s.endpoints[to])
	took := 50*Millisecond + Time(drawn(id, w.tries[id], "took")*float64(300*Millisecond))
	o := Outcome{Message: id, Attempt: w.tries[id] - 1, Endpoint: to, Took: took, Final: true}
	if d := w.s.endpoints[to].d.id; d == 1 { // the one that tells its limit
		o.Report = Report{Known: true, Left: 0.5, Limit: 20}
	}
	switch luck := drawn(id, w.tries[id], "luck"); {
	case to == "b" && w.outage():
		o.Result, o.Final = ConnectFailed, false
	case luck < 0.08:
		o.Result, o.Final, o.Wait = Full, false, 300*Millisecond
	case luck < 0.12:
		o.Result, o.Final, o.Closed = Full, false, luck < 0.1
	case luck < 0.18:
		o.Result, o.Final = Errored, false
	case luck < 0.22:
		o.Result, o.Final, o.Reused = Reset, false, true
	case luck < 0.26 || took > timeOut:
		o.Result, o.Final, o.Took = TimedOut, false, timeOut
	}
	w.at(w.clock+o.Took, -1, func() {
		if o.Final {
			w.answered(id, "done")
		}
		w.s.Ended(o)
	})
}

// within checks an attempt by the settings that hold now.
func (w *town) within(n *message, e *endpoint) {
	set, class := w.s.set, w.s.class(n)
	check := func(is bool, what string) {
		if !is {
			w.t.Errorf("%d: %s to %s: %s", w.clock, n.ID, e.id, what)
		}
	}
	check(w.ends[n.ID] == 0, "it has had its answer")
	check(e.open.n > 1 || len(w.s.calls) <= set.InFlightLimit, fmt.Sprint(len(w.s.calls), " calls out of ", set.InFlightLimit))
	check(e.open.n <= max(1, e.d.kind.BundleMax) && e.d.kind.BundleMax == set.Kinds[e.d.id%2].BundleMax, "a bundle too large")
	check(w.tries[n.ID] <= set.MaxAttempts, "one dispatch too many")
	check(!n.MayRun || class.Repeat != NonIdempotent, "a second run")
	check(!n.MayRun || class.Repeat != Keyed || w.clock <= n.RanAt+class.RepeatWindow-set.Turn, "out of its window")
	check(!n.MayRun || !class.ZoneGroup || e.zone == n.RanIn, "known in another zone alone")
	check(n.line == nil || n.line.messages[0] == n, "before its turn")
}

func (w *town) answered(id MessageID, how string) {
	if w.ends[id]++; w.ends[id] > 1 {
		w.t.Errorf("%d: %s: %s, and it had an answer", w.clock, id, how)
	}
	w.log("%s %s", how, id)
}

func (w *town) Shed(id MessageID, in Time) {
	if in > w.s.set.LongestReturn {
		w.t.Errorf("%s may come again in %d, above %d", id, in, w.s.set.LongestReturn)
	}
	w.answered(id, fmt.Sprint("shed, again in ", in))
}

func (w *town) Fail(id MessageID) { w.answered(id, "given up") }

func (w *town) Probe(e EndpointID) {
	w.log("probe %s", e)
	if !w.s.set.Probing {
		w.t.Errorf("%d: a probe", w.clock)
	}
	result := Done
	if w.outage() {
		result = ConnectFailed
	}
	w.at(w.clock+100*Millisecond, -1, func() { w.s.Probed(e, result) })
}

func (w *town) CloseIdle(e EndpointID) { w.log("close %s", e) }

func (w *town) Tell(note []byte) {
	w.log("tell %x", note)
	if !w.s.set.Notes {
		w.t.Errorf("%d: a note", w.clock)
	}
}

func (w *town) Timer(in Time, id TimerID) { w.at(w.clock+in, id, func() { w.s.TimerDue(id) }) }

func (w *town) Forget(id TimerID) {
	w.events = slices.DeleteFunc(w.events, func(e townEvent) bool { return e.timer == id })
}

const (
	townQuiet = 60 * Second // all that fills up has done so
	townOpen  = 10 * Second // of messages coming
	townGap   = 10 * Millisecond
)

// townSettings have a second of each kind, account and zone; fleet those of many senders, with notes.
func townSettings(fleet bool) Settings {
	set := plain()
	set.InFlightLimit, set.MaxOpen, set.LongestReturn, set.ConnIdle = 12, 60, 4*Second, Second
	set.Kinds = []Kind{{BundleMax: 1}, {BundleMax: 3, Apart: true}}
	set.Quotas, set.OverShareValue = []float64{12, 30}, 0.5
	set.RouteFees = []float64{0, 0.02}
	if fleet {
		set.Senders, set.Probing, set.Notes = 20, false, true
	}
	return set
}

// open starts a town: two destinations of two endpoints in two zones, one of each kind.
func (w *town) open(set Settings) {
	w.tries, w.ends = map[MessageID]int{}, map[MessageID]int{}
	w.s = Start(w, "s", 7, set)
}

func (w *town) list() {
	var all []Entry
	for i, id := range []EndpointID{"a", "b", "c", "d"} {
		all = append(all, Entry{Endpoint: id, Destination: DestinationID(i / 2), Kind: KindNo(i / 2), Zone: ZoneNo(i % 2), Rating: 10})
	}
	w.s.UpdateEndpoints(all, true)
}

// load has messages come steadily, of all that the settings name by then.
func (w *town) load(from, until Time) {
	no := 0
	for at := from; at < until; at += townGap {
		id := MessageID(fmt.Sprint("n", at-from))
		no++
		class, account := no, no/3
		w.at(at, -1, func() {
			set := w.s.set
			n := Message{ID: id, Class: ClassNo(class % len(set.Classes)), Account: AccountNo(account % len(set.Quotas)),
				Key: OrderKey(class % 7), Destination: DestinationID(class / 2 % 2)}
			n.Deadline = w.clock + set.Classes[n.Class].Deadline
			held := len(w.s.held)
			w.s.Taken(n)
			if most := max(held, set.MaxOpen); len(w.s.held) > most {
				w.t.Errorf("%d: %d held, at most %d", w.clock, len(w.s.held), most)
			}
		})
	}
}

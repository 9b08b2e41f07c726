package choice

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
)

// town is a host with a steady load, whose calls end by what is drawn from their ids; it checks what it is asked for.
type loadHost struct {
	t        *testing.T
	sender   *Sender
	clock    Time
	events   []loadEvent // by time; emptied as they happen
	attempts map[MessageID]int
	answers  map[MessageID]int // answers
	trace    []string
}

type loadEvent struct {
	at    Time
	do    func()
	timer TimerID
}

func (w *loadHost) schedule(at Time, timer TimerID, what func()) {
	e := loadEvent{max(at, w.clock), what, timer}
	i, _ := slices.BinarySearchFunc(w.events, e, func(a, b loadEvent) int { return int(min(1, max(-1, a.at-b.at))) })
	for i < len(w.events) && w.events[i].at == e.at {
		i++
	}
	w.events = slices.Insert(w.events, i, e)
}

// run plays until a time; all that happens at one moment is one turn.
func (w *loadHost) playUntil(until Time) {
	for len(w.events) > 0 && w.events[0].at <= until {
		w.clock = w.events[0].at
		for len(w.events) > 0 && w.events[0].at == w.clock {
			e := w.events[0]
			w.events = w.events[1:]
			e.do()
		}
		w.sender.TurnEnd()
	}
	w.clock = until
}

func (w *loadHost) log(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%d ", w.clock)+fmt.Sprintf(format, args...))
}

// outage tells whether b is down; so it is in every minute.
func (w *loadHost) bDown() bool {
	since := w.clock % loadWarmUp
	return since > 4*Second && since < 9*Second
}

// drawn is in [0, 1), by what a thing is called.
func hashFraction(of ...any) float64 {
	h := fnv.New64a()
	fmt.Fprint(h, of...)
	return float64(h.Sum64()>>11) / (1 << 53)
}

func (w *loadHost) Now() Time                          { return w.clock }
func (w *loadHost) Allowed(MessageID, EndpointID) bool { return true }

func (w *loadHost) Attempt(id MessageID, to EndpointID, timeOut Time) {
	w.attempts[id]++
	w.log("dispatch %s to %s within %d", id, to, timeOut)
	w.checkAttempt(w.sender.messages[id], w.sender.endpoints[to])
	took := 50*Millisecond + Time(hashFraction(id, w.attempts[id], "took")*float64(300*Millisecond))
	o := Outcome{Message: id, Attempt: w.attempts[id] - 1, Endpoint: to, Took: took, Final: true}
	if d := w.sender.endpoints[to].destination.id; d == 1 { // the one that tells its limit
		o.Report = Report{Known: true, Left: 0.5, Limit: 20}
	}
	switch luck := hashFraction(id, w.attempts[id], "luck"); {
	case to == "b" && w.bDown():
		o.Result, o.Final = ConnectFailed, false
	case luck < 0.08:
		o.Result, o.Final, o.Wait = Full, false, 300*Millisecond
	case luck < 0.12:
		o.Result, o.Final, o.Closed = Full, false, luck < 0.1
	case luck < 0.18:
		o.Result, o.Final = Errored, false
	case luck < 0.22:
		o.Result, o.Final, o.Kept = Reset, false, true
	case luck < 0.26 || took > timeOut:
		o.Result, o.Final, o.Took = TimedOut, false, timeOut
	}
	w.schedule(w.clock+o.Took, -1, func() {
		if o.Final {
			w.answered(id, "done")
		}
		w.sender.Ended(o)
	})
}

// within checks an attempt by the settings that hold now.
func (w *loadHost) checkAttempt(msg *message, ep *endpoint) {
	set, class := w.sender.settings, w.sender.class(msg)
	check := func(is bool, what string) {
		if !is {
			w.t.Errorf("%d: %s to %s: %s", w.clock, msg.ID, ep.id, what)
		}
	}
	check(w.answers[msg.ID] == 0, "it has had its answer")
	check(ep.bulkCall.messages > 1 || len(w.sender.calls) <= set.InFlightLimit, fmt.Sprint(len(w.sender.calls), " calls out of ", set.InFlightLimit))
	check(ep.bulkCall.messages <= max(1, ep.destination.kind.BundleMax) && ep.destination.kind.BundleMax == set.Kinds[ep.destination.id%2].BundleMax, "a bundle too large")
	check(w.attempts[msg.ID] <= set.MaxAttempts, "one dispatch too many")
	check(!msg.MayRun || class.Repeat != SingleUse, "a second run")
	check(!msg.MayRun || class.Repeat != Keyed || w.clock <= msg.RanAt+class.RepeatWindow-set.Turn, "out of its window")
	check(!msg.MayRun || !class.ZoneGroup || ep.zone == msg.RanIn, "known in another zone alone")
	check(msg.keyQueue == nil || msg.keyQueue.messages[0] == msg, "before its turn")
}

func (w *loadHost) answered(id MessageID, how string) {
	if w.answers[id]++; w.answers[id] > 1 {
		w.t.Errorf("%d: %s: %s, and it had an answer", w.clock, id, how)
	}
	w.log("%s %s", how, id)
}

func (w *loadHost) Shed(id MessageID, in Time) {
	if in > w.sender.settings.LongestReturn {
		w.t.Errorf("%s may come again in %d, above %d", id, in, w.sender.settings.LongestReturn)
	}
	w.answered(id, fmt.Sprint("shed, again in ", in))
}

func (w *loadHost) Fail(id MessageID) { w.answered(id, "given up") }

func (w *loadHost) Probe(e EndpointID) {
	w.log("probe %s", e)
	if !w.sender.settings.Probing {
		w.t.Errorf("%d: a probe", w.clock)
	}
	result := Done
	if w.bDown() {
		result = ConnectFailed
	}
	w.schedule(w.clock+100*Millisecond, -1, func() { w.sender.Probed(e, result) })
}

func (w *loadHost) CloseIdle(e EndpointID) { w.log("close %s", e) }

func (w *loadHost) Tell(note []byte) {
	w.log("tell %x", note)
	if !w.sender.settings.Notes {
		w.t.Errorf("%d: a note", w.clock)
	}
}

func (w *loadHost) Timer(in Time, id TimerID) {
	w.schedule(w.clock+in, id, func() { w.sender.TimerDue(id) })
}

func (w *loadHost) Forget(id TimerID) {
	w.events = slices.DeleteFunc(w.events, func(e loadEvent) bool { return e.timer == id })
}

const (
	loadWarmUp   = 60 * Second // all that fills up has done so
	loadSpan     = 10 * Second // of messages coming
	loadInterval = 10 * Millisecond
)

// townSettings have a second of each kind, account and zone; fleet those of many senders, with notes.
func loadSettings(fleet bool) Settings {
	set := testSettings()
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
func (w *loadHost) start(set Settings) {
	w.attempts, w.answers = map[MessageID]int{}, map[MessageID]int{}
	w.sender = Start(w, "s", 7, set)
}

func (w *loadHost) listEndpoints() {
	var all []Entry
	for i, id := range []EndpointID{"a", "b", "c", "d"} {
		all = append(all, Entry{Endpoint: id, Destination: DestinationID(i / 2), Kind: KindNo(i / 2), Zone: ZoneNo(i % 2), Rating: 10})
	}
	w.sender.ListNews(all, true)
}

// load has messages come steadily, of all that the settings name by then.
func (w *loadHost) offerLoad(from, until Time) {
	no := 0
	for at := from; at < until; at += loadInterval {
		id := MessageID(fmt.Sprint("n", at-from))
		no++
		class, account := no, no/3
		w.schedule(at, -1, func() {
			set := w.sender.settings
			n := Message{ID: id, Class: ClassNo(class % len(set.Classes)), Account: AccountNo(account % len(set.Quotas)),
				Key: OrderKey(class % 7), Destination: DestinationID(class / 2 % 2)}
			n.Deadline = w.clock + set.Classes[n.Class].Deadline
			held := len(w.sender.messages)
			w.sender.Taken(n)
			if most := max(held, set.MaxOpen); len(w.sender.messages) > most {
				w.t.Errorf("%d: %d held, at most %d", w.clock, len(w.sender.messages), most)
			}
		})
	}
}

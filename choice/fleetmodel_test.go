package choice

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
)

// fleet plays many senders against the endpoints of a few destinations, on a clock of its own that goes from one event
// to the next. It counts what reaches each endpoint that is back from an outage and cold, from whichever sender.
type fleetModel struct {
	outagePlan
	now                     Time
	events                  eventHeap // emptied as they happen
	eventSerial, eventCount int
	hosts                   []*senderHost
	endpoints               map[EndpointID]*endpointModel
	random                  *rand.Rand
}

// play is one outage as it is drawn: how much is sent there, by whom, and what else happens meanwhile.
type outagePlan struct {
	set           Settings
	senders       int
	destinations  int
	endpointsEach int     // endpoints of each destination
	capacity      float64 // calls a second of each endpoint when warm
	rating        float64 // what the list tells of that
	demand        float64 // messages a second, as a part of the capacity
	skew          float64 // exponent by which senders differ; 0 is even
	replaced      bool    // half of the endpoints are replaced in the outage
	restarts      float64 // share of senders that start anew in the outage, or up to two seconds after it
	seed          uint64
}

type fleetEvent struct {
	at     Time
	serial int
	do     func()
}

type eventHeap []fleetEvent

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].serial < h[j].serial
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(fleetEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (f *fleetModel) after(in Time, do func()) {
	f.eventSerial++
	heap.Push(&f.events, fleetEvent{f.now + in, f.eventSerial, do})
}

// site is one endpoint as it is: down from and until, and what reached it of late while cold.
type endpointModel struct {
	id           EndpointID
	downAt, upAt Time
	recentCalls  []Time // within the fall span
	fromAware    []bool // of each of these, whether its sender had met the outage
	calls        int    // since it is back
	firstSecond  int    // of these, in the first second and from senders that had met the outage
	excess       float64
	awareExcess  float64 // of windows of which over two thirds came from senders that had met the outage
}

// room is N: what the settings let a cold endpoint be sent in a fall span that ends now.
func (f *fleetModel) allowedCalls(ep *endpointModel) float64 {
	warm := f.set.ColdFrom + (1-f.set.ColdFrom)*seconds(f.now-ep.upAt)/seconds(f.set.Cold)
	return f.set.FallMultiple * f.capacity * warm * seconds(f.set.Fall)
}

func (f *fleetModel) arrive(ep *endpointModel, knows bool) bool {
	if f.now >= ep.downAt && f.now < ep.upAt {
		return false
	}
	if f.now >= ep.upAt {
		ep.calls++
		ep.firstSecond += countIf(knows && f.now < ep.upAt+Second)
	}
	if f.now >= ep.upAt && f.now < ep.upAt+f.set.Cold {
		ep.recentCalls, ep.fromAware = append(ep.recentCalls, f.now), append(ep.fromAware, knows)
		for ep.recentCalls[0] < f.now-f.set.Fall {
			ep.recentCalls, ep.fromAware = ep.recentCalls[1:], ep.fromAware[1:]
		}
		n := f.allowedCalls(ep)
		bound := n + 2*math.Sqrt(n) + 2
		over := float64(len(ep.recentCalls)) - bound
		ep.excess = max(ep.excess, over)
		aware := 0
		for _, knew := range ep.fromAware {
			aware += countIf(knew)
		}
		if 3*aware > 2*len(ep.recentCalls) {
			ep.awareExcess = max(ep.awareExcess, over)
		}
	}
	return true
}

// seat is one sender's host. A process that ends takes its timers and answers with it.
type senderHost struct {
	fleet       *fleetModel
	number      int
	clockSkew   Time
	sender      *Sender
	incarnation int
	attempts    map[MessageID]int
	forgotten   map[TimerID]bool
}

func (h *senderHost) start() {
	h.incarnation++
	h.attempts, h.forgotten = map[MessageID]int{}, map[TimerID]bool{}
	h.sender = Start(h, SenderID(fmt.Sprint("s", h.number, ".", h.incarnation)), int64(h.fleet.seed), h.fleet.set)
	var entries []Entry
	for _, id := range sortedKeys(h.fleet.endpoints) {
		if h.fleet.endpoints[id].upAt < forever {
			entries = append(entries, h.fleet.entry(id))
		}
	}
	h.sender.ListNews(entries, true)
	h.sender.TurnEnd()
}

func (f *fleetModel) entry(id EndpointID) Entry {
	dest := 0
	fmt.Sscanf(string(id), "d%d", &dest)
	return Entry{Endpoint: id, Destination: DestinationID(dest), Rating: f.rating * float64(f.endpointsEach)}
}

// later does something to this life of the sender, and then ends its turn.
func (h *senderHost) later(in Time, do func()) {
	life := h.incarnation
	h.fleet.after(in, func() {
		if h.incarnation == life {
			do()
			h.sender.TurnEnd()
		}
	})
}

func (h *senderHost) Now() Time                              { return h.fleet.now + h.clockSkew }
func (h *senderHost) Allowed(n MessageID, e EndpointID) bool { return true }
func (h *senderHost) Fail(n MessageID)                       {}
func (h *senderHost) Shed(n MessageID, in Time)              {}
func (h *senderHost) CloseIdle(e EndpointID)                 {}
func (h *senderHost) Tell(note []byte)                       {}
func (h *senderHost) Forget(id TimerID)                      { h.forgotten[id] = true }
func (h *senderHost) Timer(in Time, id TimerID) {
	h.later(in, func() {
		if !h.forgotten[id] {
			h.sender.TimerDue(id)
		}
		delete(h.forgotten, id)
	})
}

func (h *senderHost) Attempt(n MessageID, to EndpointID, timeOut Time) {
	h.attempts[n]++
	knows := h.sender.impaired(h.sender.endpoints[to])
	o := Outcome{Message: n, Attempt: h.attempts[n] - 1, Endpoint: to, Result: ConnectFailed}
	h.fleet.after(10*Millisecond+Time(h.fleet.random.IntN(200)), func() {
		if h.fleet.arrive(h.fleet.endpoints[to], knows) {
			o.Result, o.Took, o.Final = Done, 60*Millisecond, true
		}
	})
	h.later(60*Millisecond, func() { h.sender.Ended(o) })
}

func (h *senderHost) Probe(e EndpointID) {
	up := Errored
	h.fleet.after(10*Millisecond, func() {
		if h.fleet.arrive(h.fleet.endpoints[e], true) {
			up = Done
		}
	})
	h.later(30*Millisecond, func() { h.sender.Probed(e, up) })
}

func (h *senderHost) accept(dest, serial int) {
	w := ClassNo(serial % len(h.fleet.set.Classes))
	h.sender.Taken(Message{ID: MessageID(fmt.Sprint("n", serial)), Class: w, Account: -1, Key: NoKey, Destination: DestinationID(dest),
		Deadline: h.Now() + h.fleet.set.Classes[w].Deadline})
	h.sender.TurnEnd()
}

// outage plays one and gives the endpoints that came back.
func (p outagePlan) run() (back []*endpointModel, f *fleetModel) {
	f = &fleetModel{outagePlan: p, endpoints: map[EndpointID]*endpointModel{}, random: rand.New(rand.NewPCG(p.seed, 1))}
	f.set.Senders, f.set.Probing = p.senders, p.senders <= smallFleetSize
	down, end := 4*Second, Time(0)
	for d := range p.destinations {
		for e := range p.endpointsEach {
			lasts := 5*Second + Time(f.random.IntN(int(10*Second)))
			if e > 0 {
				lasts = f.endpoints[EndpointID(fmt.Sprintf("d%d-0", d))].upAt - down
			}
			id := EndpointID(fmt.Sprintf("d%d-%d", d, e))
			f.endpoints[id] = &endpointModel{id: id, downAt: down + Time(f.random.IntN(int(Second))), upAt: down + lasts}
			back, end = append(back, f.endpoints[id]), max(end, down+lasts+max(f.set.Cold, 10*Second))
		}
	}
	for no := range p.senders {
		h := &senderHost{fleet: f, number: no, clockSkew: Time(f.random.IntN(1000) - 500)}
		f.hosts = append(f.hosts, h)
		h.start()
	}
	f.replace(&back)
	f.restart()
	f.traffic(end)
	for len(f.events) > 0 && f.now < end {
		f.eventCount++
		next := heap.Pop(&f.events).(fleetEvent)
		f.now = next.at
		next.do()
	}
	return back, f
}

func (f *fleetModel) replace(back *[]*endpointModel) {
	for i, ep := range *back {
		if !f.replaced || i%2 > 0 {
			continue
		}
		fresh := &endpointModel{id: ep.id + "'", downAt: ep.downAt, upAt: ep.upAt}
		(*back)[i] = fresh
		f.after(ep.downAt+(ep.upAt-ep.downAt)/2, func() {
			f.endpoints[fresh.id] = fresh
			gone := f.entry(ep.id)
			gone.Stage = Gone
			for _, h := range f.hosts {
				h.later(Time(f.random.IntN(1000)), func() { h.sender.ListNews([]Entry{gone, f.entry(fresh.id)}, false) })
			}
			ep.upAt = forever // what is replaced stays away
		})
	}
}

func (f *fleetModel) restart() {
	for _, h := range f.hosts {
		if f.random.Float64() < f.restarts {
			f.after(5*Second+Time(f.random.IntN(int(12*Second))), h.start)
		}
	}
}

// traffic lays out what is handed in: by chance, over all destinations evenly, and to each sender by its weight.
func (f *fleetModel) traffic(end Time) {
	weights, sum := make([]float64, f.senders), 0.0
	for i := range weights {
		sum += math.Pow(float64(i+1), -f.skew)
		weights[i] = sum
	}
	rate, serial := f.demand*f.capacity*float64(f.endpointsEach*f.destinations), 0
	for at := Time(0); at < end; at += max(1, Time(f.random.ExpFloat64()/rate*float64(Second))) {
		dest, pick := f.random.IntN(f.destinations), f.random.Float64()*sum
		who := 0
		for weights[who] < pick {
			who++
		}
		serial++
		no := serial
		f.after(at, func() { f.hosts[who].accept(dest, no) })
	}
}

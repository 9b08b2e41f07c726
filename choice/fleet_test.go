package choice

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
)

// fleet plays many senders against the endpoints of a few destinations, on a clock of its own that goes from one event
// to the next. It counts what reaches each endpoint that is back from an outage and cold, from whichever sender.
type fleet struct {
	play
	now              Time
	events           happenings // emptied as they happen
	serial, happened int
	seats            []*seat
	sites            map[EndpointID]*site
	rng              *rand.Rand
}

// play is one outage as it is drawn: how much is sent there, by whom, and what else happens meanwhile.
type play struct {
	set      Settings
	senders  int
	dests    int
	ends     int     // endpoints of each destination
	capacity float64 // calls a second of each endpoint when warm
	rating   float64 // what the list tells of that
	demand   float64 // messages a second, as a part of the capacity
	skew     float64 // exponent by which senders differ; 0 is even
	replaced bool    // half of the endpoints are replaced in the outage
	restarts float64 // share of senders that start anew in the outage, or up to two seconds after it
	seed     uint64
}

type happening struct {
	at     Time
	serial int
	do     func()
}

type happenings []happening

func (h happenings) Len() int      { return len(h) }
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h happenings) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].serial < h[j].serial
}
func (h *happenings) Push(x any) { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (f *fleet) after(in Time, do func()) {
	f.serial++
	heap.Push(&f.events, happening{f.now + in, f.serial, do})
}

// site is one endpoint as it is: down from and until, and what reached it of late while cold.
type site struct {
	id         EndpointID
	down, back Time
	recent     []Time // within the fall span
	known      []bool // of each of these, whether its sender had met the outage
	calls      int    // since it is back
	rush       int    // of these, in the first second and from senders that had met the outage
	excess     float64
	blamed     float64 // of windows of which over two thirds came from senders that had met the outage
}

// room is N: what the settings let a cold endpoint be sent in a fall span that ends now.
func (f *fleet) room(at *site) float64 {
	warm := f.set.SlowStartFrom + (1-f.set.SlowStartFrom)*seconds(f.now-at.back)/seconds(f.set.SlowStart)
	return f.set.FallMultiple * f.capacity * warm * seconds(f.set.Fall)
}

func (f *fleet) arrive(at *site, knows bool) bool {
	if f.now >= at.down && f.now < at.back {
		return false
	}
	if f.now >= at.back {
		at.calls++
		at.rush += int(one(knows && f.now < at.back+Second))
	}
	if f.now >= at.back && f.now < at.back+f.set.SlowStart {
		at.recent, at.known = append(at.recent, f.now), append(at.known, knows)
		for at.recent[0] < f.now-f.set.Fall {
			at.recent, at.known = at.recent[1:], at.known[1:]
		}
		n := f.room(at)
		bound := n + 2*math.Sqrt(n) + 2
		over := float64(len(at.recent)) - bound
		at.excess = max(at.excess, over)
		told := 0
		for _, knew := range at.known {
			told += int(one(knew))
		}
		if 3*told > 2*len(at.recent) {
			at.blamed = max(at.blamed, over)
		}
	}
	return true
}

// seat is one sender's host. A process that ends takes its timers and answers with it.
type seat struct {
	f      *fleet
	no     int
	skew   Time
	s      *Sender
	life   int
	tries  map[MessageID]int
	forgot map[TimerID]bool
}

func (h *seat) start() {
	h.life++
	h.tries, h.forgot = map[MessageID]int{}, map[TimerID]bool{}
	h.s = Start(h, SenderID(fmt.Sprint("s", h.no, ".", h.life)), int64(h.f.seed), h.f.set)
	var entries []Entry
	for _, id := range inOrder(h.f.sites) {
		if h.f.sites[id].back < forever {
			entries = append(entries, h.f.entry(id))
		}
	}
	h.s.UpdateEndpoints(entries, true)
	h.s.TurnEnd()
}

func (f *fleet) entry(id EndpointID) Entry {
	dest := 0
	fmt.Sscanf(string(id), "d%d", &dest)
	return Entry{Endpoint: id, Destination: DestinationID(dest), Rating: f.rating * float64(f.ends)}
}

// later does something to this life of the sender, and then ends its turn.
func (h *seat) later(in Time, do func()) {
	life := h.life
	h.f.after(in, func() {
		if h.life == life {
			do()
			h.s.TurnEnd()
		}
	})
}

func (h *seat) Now() Time                              { return h.f.now + h.skew }
func (h *seat) Allowed(n MessageID, e EndpointID) bool { return true }
func (h *seat) Fail(n MessageID)                       {}
func (h *seat) Shed(n MessageID, in Time)              {}
func (h *seat) CloseIdle(e EndpointID)                 {}
func (h *seat) Tell(note []byte)                       {}
func (h *seat) Forget(id TimerID)                      { h.forgot[id] = true }
func (h *seat) Timer(in Time, id TimerID) {
	h.later(in, func() {
		if !h.forgot[id] {
			h.s.TimerDue(id)
		}
		delete(h.forgot, id)
	})
}

func (h *seat) Attempt(n MessageID, to EndpointID, timeOut Time) {
	h.tries[n]++
	knows := h.s.outage(h.s.endpoints[to])
	o := Outcome{Message: n, Attempt: h.tries[n] - 1, Endpoint: to, Result: ConnectFailed}
	h.f.after(10*Millisecond+Time(h.f.rng.IntN(200)), func() {
		if h.f.arrive(h.f.sites[to], knows) {
			o.Result, o.Took, o.Final = Done, 60*Millisecond, true
		}
	})
	h.later(60*Millisecond, func() { h.s.Ended(o) })
}

func (h *seat) Probe(e EndpointID) {
	up := Errored
	h.f.after(10*Millisecond, func() {
		if h.f.arrive(h.f.sites[e], true) {
			up = Done
		}
	})
	h.later(30*Millisecond, func() { h.s.Probed(e, up) })
}

func (h *seat) take(dest, serial int) {
	w := ClassNo(serial % len(h.f.set.Classes))
	h.s.Taken(Message{ID: MessageID(fmt.Sprint("n", serial)), Class: w, Account: -1, Key: NoKey, Destination: DestinationID(dest),
		Deadline: h.Now() + h.f.set.Classes[w].Deadline})
	h.s.TurnEnd()
}

// outage plays one and gives the endpoints that came back.
func (p play) outage() (back []*site, f *fleet) {
	f = &fleet{play: p, sites: map[EndpointID]*site{}, rng: rand.New(rand.NewPCG(p.seed, 1))}
	f.set.Senders, f.set.Probing = p.senders, p.senders <= smallFleet
	down, end := 4*Second, Time(0)
	for d := range p.dests {
		for e := range p.ends {
			lasts := 5*Second + Time(f.rng.IntN(int(10*Second)))
			if e > 0 {
				lasts = f.sites[EndpointID(fmt.Sprintf("d%d-0", d))].back - down
			}
			id := EndpointID(fmt.Sprintf("d%d-%d", d, e))
			f.sites[id] = &site{id: id, down: down + Time(f.rng.IntN(int(Second))), back: down + lasts}
			back, end = append(back, f.sites[id]), max(end, down+lasts+max(f.set.SlowStart, 10*Second))
		}
	}
	for no := range p.senders {
		h := &seat{f: f, no: no, skew: Time(f.rng.IntN(1000) - 500)}
		f.seats = append(f.seats, h)
		h.start()
	}
	f.replace(&back)
	f.restart()
	f.traffic(end)
	for len(f.events) > 0 && f.now < end {
		f.happened++
		next := heap.Pop(&f.events).(happening)
		f.now = next.at
		next.do()
	}
	return back, f
}

func (f *fleet) replace(back *[]*site) {
	for i, at := range *back {
		if !f.replaced || i%2 > 0 {
			continue
		}
		fresh := &site{id: at.id + "'", down: at.down, back: at.back}
		(*back)[i] = fresh
		f.after(at.down+(at.back-at.down)/2, func() {
			f.sites[fresh.id] = fresh
			gone := f.entry(at.id)
			gone.Stage = Gone
			for _, h := range f.seats {
				h.later(Time(f.rng.IntN(1000)), func() { h.s.UpdateEndpoints([]Entry{gone, f.entry(fresh.id)}, false) })
			}
			at.back = forever // what is replaced stays away
		})
	}
}

func (f *fleet) restart() {
	for _, h := range f.seats {
		if f.rng.Float64() < f.restarts {
			f.after(5*Second+Time(f.rng.IntN(int(12*Second))), h.start)
		}
	}
}

// traffic lays out what is handed in: by chance, over all destinations evenly, and to each sender by its weight.
func (f *fleet) traffic(end Time) {
	weights, sum := make([]float64, f.senders), 0.0
	for i := range weights {
		sum += math.Pow(float64(i+1), -f.skew)
		weights[i] = sum
	}
	rate, serial := f.demand*f.capacity*float64(f.ends*f.dests), 0
	for at := Time(0); at < end; at += max(1, Time(f.rng.ExpFloat64()/rate*float64(Second))) {
		dest, pick := f.rng.IntN(f.dests), f.rng.Float64()*sum
		who := 0
		for weights[who] < pick {
			who++
		}
		serial++
		no := serial
		f.after(at, func() { f.seats[who].take(dest, no) })
	}
}

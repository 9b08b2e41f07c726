package choice

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// What holds of settings that change while a sender runs: Configure(new) leads to what Start(new) leads to, what is open
// gets its one answer, and nothing goes beyond what the new ones allow.

// settingsRows are a change of each field; fleet where many senders are needed for it to show, silent where the module
// reads it not at all.
var settingsRows = map[string]struct {
	change        func(*Settings)
	fleet, silent bool
}{
	"Senders":                  {change: func(s *Settings) { s.Senders = 30 }, fleet: true},
	"Number":                   {change: func(s *Settings) { s.Number = 3 }, silent: true},
	"Zone":                     {change: func(s *Settings) { s.Zone = 1 }},
	"InFlightLimit":            {change: func(s *Settings) { s.InFlightLimit = 3 }},
	"MaxOpen":                  {change: func(s *Settings) { s.MaxOpen = 10 }},
	"MaxAttempts":              {change: func(s *Settings) { s.MaxAttempts = 2 }},
	"Classes":                  {change: func(s *Settings) { s.Classes = append(s.Classes, s.Classes[1], s.Classes[3]) }},
	"Kinds":                    {change: func(s *Settings) { s.Kinds = append(s.Kinds, Kind{BundleMax: 9}) }, silent: true}, // until the list names it
	"Quotas":                   {change: func(s *Settings) { s.Quotas = []float64{3, 3, 3} }},
	"OverShareValue":           {change: func(s *Settings) { s.OverShareValue = 0.01 }},
	"Halving":                  {change: func(s *Settings) { s.Halving = true }},
	"Probing":                  {change: func(s *Settings) { s.Probing = false }},
	"Notes":                    {change: func(s *Settings) { s.Notes = false }, fleet: true},
	"Cancelling":               {change: func(s *Settings) { s.Cancelling = true }, silent: true},
	"LongestReturn":            {change: func(s *Settings) { s.LongestReturn = 10 * Millisecond }},
	"DialTimeout":              {change: func(s *Settings) { s.DialTimeout = Second }, silent: true},
	"ConnIdle":                 {change: func(s *Settings) { s.ConnIdle = 20 * Second }},
	"TellsFull":                {change: func(s *Settings) { s.TellsFull = true }, fleet: true},
	"Turn":                     {change: func(s *Settings) { s.Turn = 40 * Millisecond }},
	"Rating":                   {change: func(s *Settings) { s.Rating = RatingNone }},
	"FallMultiple":             {change: func(s *Settings) { s.FallMultiple = 0.5 }},
	"Fall":                     {change: func(s *Settings) { s.Fall = 9 * Second }},
	"SlowStartFrom":            {change: func(s *Settings) { s.SlowStartFrom = 0.9 }},
	"SlowStart":                {change: func(s *Settings) { s.SlowStart = 3 * Second }},
	"KeyRest":                  {change: func(s *Settings) { s.KeyRest = 3 * Second }},
	"RouteFees":                {change: func(s *Settings) { s.RouteFees = []float64{0.3, 0} }},
	"RefusedPrice":             {change: func(s *Settings) { s.RefusedPrice = 0.5 }, silent: true},
	"HandshakePrice":           {change: func(s *Settings) { s.HandshakePrice = 0.5 }, silent: true},
	"Classes.Repeat":           {change: class(func(w *Class) { w.Repeat = NonIdempotent })},
	"Classes.ZoneGroup":        {change: class(func(w *Class) { w.ZoneGroup = !w.ZoneGroup })},
	"Classes.RepeatWindow":     {change: class(func(w *Class) { w.RepeatWindow = 300 * Millisecond })},
	"Classes.LatencyObjective": {change: class(func(w *Class) { w.LatencyObjective = 400 * Millisecond })},
	"Classes.Deadline":         {change: class(func(w *Class) { w.Deadline = 2 * Second })},
	"Classes.Value":            {change: func(s *Settings) { s.Classes[0].Value = 50 }},
	"Classes.LateValue":        {change: class(func(w *Class) { w.LateValue = 0.9 })},
	"Classes.ByArrival":        {change: class(func(w *Class) { w.ByArrival = !w.ByArrival })},
	"Kinds.BundleMax":          {change: func(s *Settings) { s.Kinds[0].BundleMax, s.Kinds[1].BundleMax = 4, 1 }},
	"Kinds.Apart":              {change: func(s *Settings) { s.Kinds[0].Apart = true }},
}

// class changes every class.
func class(change func(*Class)) func(*Settings) {
	return func(s *Settings) {
		for i := range s.Classes {
			change(&s.Classes[i])
		}
	}
}

// changed is a copy of settings with one change, which shares nothing with it.
func changed(set Settings, change func(*Settings)) Settings {
	set.Classes, set.Kinds = slices.Clone(set.Classes), slices.Clone(set.Kinds)
	set.Quotas, set.RouteFees = slices.Clone(set.Quotas), slices.Clone(set.RouteFees)
	change(&set)
	return set
}

// A field that comes new must come with a row.
func TestEveryFieldOfSettingsHasARow(t *testing.T) {
	rows := map[string]bool{}
	for name := range settingsRows {
		rows[name] = true
	}
	take := func(prefix string, of reflect.Type) {
		for i := range of.NumField() {
			name := prefix + of.Field(i).Name
			if !rows[name] {
				t.Errorf("field %s has no row", name)
			}
			delete(rows, name)
		}
	}
	take("", reflect.TypeFor[Settings]())
	take("Classes.", reflect.TypeFor[Class]())
	take("Kinds.", reflect.TypeFor[Kind]())
	for name := range rows {
		t.Errorf("row %s stands for no field", name)
	}
}

// A sender that is configured before anything happened acts as one that was started so: whatever hangs on a field is
// worked out anew. And each field that the module reads shows in what it does, or the row would prove nothing.
func TestConfigureIsAsStart(t *testing.T) {
	for name, row := range settingsRows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before := townSettings(row.fleet)
			after := changed(before, row.change)
			play := func(start Settings, then *Settings) []string {
				w := &town{t: t}
				w.open(start)
				if then == nil || name != "Kinds.Apart" { // of which endpoints are told when they are listed
					w.list()
				}
				if then != nil {
					w.s.Configure(changed(*then, func(*Settings) {}))
					w.list()
				}
				w.run(townQuiet)
				w.trace = nil
				w.load(townQuiet, townQuiet+townOpen)
				w.run(townQuiet + townOpen + 30*Second)
				return w.trace
			}
			started, configured, other := play(after, nil), play(before, &after), play(before, nil)
			if i := firstElse(started, configured); i >= 0 {
				t.Errorf("line %d of %d: started %q, configured %q", i, len(started), started[i:min(len(started), i+1)], configured[i:min(len(configured), i+1)])
			}
			if same := firstElse(started, other) < 0; same != row.silent {
				t.Errorf("it changes nothing: %v; the row says %v", same, row.silent)
			}
		})
	}
}

func firstElse(a, b []string) int {
	for i := range max(len(a), len(b)) {
		if i >= len(a) || i >= len(b) || a[i] != b[i] {
			return i
		}
	}
	return -1
}

// Each field changes under load, there and back again: every message gets one answer, nothing goes beyond what is allowed
// from then on, and nothing is left behind.
func TestConfigureUnderLoad(t *testing.T) {
	for name, row := range settingsRows {
		for _, back := range []bool{false, true} {
			before := townSettings(row.fleet)
			after := changed(before, row.change)
			if back {
				before, after = after, before
			}
			if len(before.Classes) > len(after.Classes) || len(before.Kinds) > len(after.Kinds) || len(before.Quotas) > len(after.Quotas) {
				continue // a list that gets shorter is refused where settings are checked
			}
			t.Run(fmt.Sprint(name, back), func(t *testing.T) {
				t.Parallel()
				w := &town{t: t}
				w.open(before)
				w.list()
				w.load(0, townOpen)
				for _, at := range []Time{3*Second + 1, 6*Second + 1} { // before and in an outage
					w.at(at, -1, func() { w.s.Configure(changed(after, func(*Settings) {})) })
				}
				w.run(townOpen + 60*Second)
				if coming := int(townOpen / townGap); len(w.ends) < coming {
					t.Errorf("%d answers for %d notices", len(w.ends), coming)
				}
				if left := len(w.s.held) + len(w.s.calls) + len(w.s.alarms.of) + len(w.s.lines) + len(w.s.waiting); left > 0 {
					t.Errorf("%d left behind", left)
				}
				if dispatched := strings.Count(strings.Join(w.trace, "\n"), "dispatch"); dispatched < 100 {
					t.Errorf("%d dispatches", dispatched)
				}
			})
		}
	}
}

// What was learnt stays: limits, paces, waits, cold states, and times of what was called.
func TestConfigureKeepsWhatWasLearnt(t *testing.T) {
	w := &town{t: t}
	w.open(townSettings(false))
	w.list()
	w.load(0, townOpen)
	w.run(7 * Second)
	type known struct {
		times
		standing
		limit, wrong, bad, asked, full float64
		cold                           bucket
		route                          route
	}
	state := func() (all []known) {
		for _, id := range inOrder(w.s.endpoints) {
			e := w.s.endpoints[id]
			all = append(all, known{e.times, e.standing, e.limit, e.wrong, e.bad, e.asked, e.full, e.cold, *e.route})
		}
		return all
	}
	before := state()
	if !slices.ContainsFunc(before, func(k known) bool { return k.ejected }) {
		t.Fatal("nothing is set aside")
	}
	w.s.Configure(changed(w.s.set, func(s *Settings) {
		for _, row := range settingsRows {
			row.change(s)
		}
	}))
	if after := state(); !reflect.DeepEqual(before, after) {
		t.Errorf("before %+v\nafter  %+v", before, after)
	}
}

// One that nobody called yet stands with the guess of the new settings; one that was called with its own times.
func TestConfigureGuessesAnew(t *testing.T) {
	d := open(plain())
	d.mute = true
	d.take(0, 1, "p").ended(Done, 0, "a", "p")
	d.s.Configure(changed(plain(), class(func(w *Class) { w.LatencyObjective = 4 * Second })))
	called, new := d.s.endpoints["a"], d.s.endpoints["c"]
	if called.mean != float64(200*Millisecond) || new.times != even(float64(2*Second)) {
		t.Error(called.times, new.times)
	}
}

// What was tried and waits for a slot as the change comes may not be sent any more by the new settings: it gets its answer
// at once, and not an attempt too many.
func ExampleSender_Configure() {
	for _, change := range []func(*Settings){
		func(s *Settings) { s.MaxAttempts = 1 },
		class(func(w *Class) { w.Repeat = NonIdempotent }),
		class(func(w *Class) { w.RepeatWindow = 100 * Millisecond }),
		class(func(w *Class) { w.LateValue = 0 }), // and where nothing forbids it, it goes on
	} {
		set := plain()
		set.InFlightLimit = 1
		d := open(set)
		d.take(1, 1, "p").ended(Errored, 0, "a", "p").take(1, 2, "q").run(2 * Second)
		d.s.Configure(changed(set, change))
		d.s.TurnEnd()
		d.ended(Done, 0, "c", "q")
	}
	// Output:
	// 0.0     dispatch p to a
	// 0.0     dispatch q to c
	// 2000.0  give up p
	// 0.0     dispatch p to a
	// 0.0     dispatch q to c
	// 2000.0  give up p
	// 0.0     dispatch p to a
	// 0.0     dispatch q to c
	// 2000.0  give up p
	// 0.0     dispatch p to a
	// 0.0     dispatch q to c
	// 2000.0  dispatch p to a
}

// New fees rank endpoints anew within a tick, also where nothing else happens.
func ExampleSender_Configure_fees() {
	set := plain()
	set.Kinds[1].Apart, set.RouteFees = true, []float64{0, 0.05}
	d := open(set)
	d.s.UpdateEndpoints([]Entry{{Endpoint: "near", Destination: 3, Kind: 1}, {Endpoint: "far", Destination: 3, Kind: 1, Zone: 1}}, false)
	for _, id := range []EndpointID{"near", "far"} {
		d.s.endpoints[id].measure(float64(200*Millisecond), 1, 1)
	}
	d.run(Second).take(0, 3, "p").ended(Done, 0, "near", "p").run(Second)
	d.s.Configure(changed(set, func(s *Settings) { s.RouteFees = []float64{0.05, 0} }))
	d.run(tick).take(0, 3, "q")
	// Output:
	// 1000.0  dispatch p to near
	// 2050.0  dispatch q to far
}

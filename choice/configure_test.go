package choice

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// The tests in this file check changes of settings in a running sender. A sender after Configure must act like one that
// was started with the same settings, every open message must get exactly one answer, and nothing may exceed the new
// limits.

// settingsChanges has one change for each field of the settings, by field name. A change with fleet set has an effect
// only with many senders. A field with unread set is not read by this package.
var settingsChanges = map[string]struct {
	change        func(*Settings)
	fleet, unread bool
}{
	"Senders":                  {change: func(s *Settings) { s.Senders = 30 }, fleet: true},
	"Number":                   {change: func(s *Settings) { s.Number = 3 }, unread: true},
	"Zone":                     {change: func(s *Settings) { s.Zone = 1 }},
	"InFlightLimit":            {change: func(s *Settings) { s.InFlightLimit = 3 }},
	"MaxOpen":                  {change: func(s *Settings) { s.MaxOpen = 10 }},
	"MaxAttempts":              {change: func(s *Settings) { s.MaxAttempts = 2 }},
	"Classes":                  {change: func(s *Settings) { s.Classes = append(s.Classes, s.Classes[1], s.Classes[3]) }},
	"Kinds":                    {change: func(s *Settings) { s.Kinds = append(s.Kinds, Kind{BulkMax: 9}) }, unread: true}, // no endpoint has this kind
	"Quotas":                   {change: func(s *Settings) { s.Quotas = []float64{3, 3, 3} }},
	"OverQuotaValue":           {change: func(s *Settings) { s.OverQuotaValue = 0.01 }},
	"Halving":                  {change: func(s *Settings) { s.Halving = true }},
	"Probing":                  {change: func(s *Settings) { s.Probing = false }},
	"Notes":                    {change: func(s *Settings) { s.Notes = false }, fleet: true},
	"Cancelling":               {change: func(s *Settings) { s.Cancelling = true }, unread: true},
	"MaxRetryAfter":            {change: func(s *Settings) { s.MaxRetryAfter = 10 * Millisecond }},
	"DialTimeout":              {change: func(s *Settings) { s.DialTimeout = Second }, unread: true},
	"ConnIdle":                 {change: func(s *Settings) { s.ConnIdle = 20 * Second }},
	"AnswersWhenTableFull":     {change: func(s *Settings) { s.AnswersWhenTableFull = true }, fleet: true},
	"TurnInterval":             {change: func(s *Settings) { s.TurnInterval = 40 * Millisecond }},
	"MaxBulkBytes":             {change: func(s *Settings) { s.MaxBulkBytes = 500 }},
	"Rating":                   {change: func(s *Settings) { s.Rating = RatingNone }},
	"OverloadMultiple":         {change: func(s *Settings) { s.OverloadMultiple = 0.5 }},
	"OverloadWindow":           {change: func(s *Settings) { s.OverloadWindow = 9 * Second }},
	"SlowStartFrom":            {change: func(s *Settings) { s.SlowStartFrom = 0.9 }},
	"SlowStart":                {change: func(s *Settings) { s.SlowStart = 3 * Second }},
	"KeyPause":                 {change: func(s *Settings) { s.KeyPause = 3 * Second }},
	"RouteFees":                {change: func(s *Settings) { s.RouteFees = []float64{0.3, 0} }},
	"RejectedPrice":            {change: func(s *Settings) { s.RejectedPrice = 0.5 }, unread: true},
	"HandshakePrice":           {change: func(s *Settings) { s.HandshakePrice = 0.5 }, unread: true},
	"Classes.Repeat":           {change: eachClass(func(c *Class) { c.Repeat = NonIdempotent })},
	"Classes.ZoneGroup":        {change: eachClass(func(c *Class) { c.ZoneGroup = !c.ZoneGroup })},
	"Classes.RepeatWindow":     {change: eachClass(func(c *Class) { c.RepeatWindow = 300 * Millisecond })},
	"Classes.LatencyObjective": {change: eachClass(func(c *Class) { c.LatencyObjective = 400 * Millisecond })},
	"Classes.Deadline":         {change: eachClass(func(c *Class) { c.Deadline = 2 * Second })},
	"Classes.Value":            {change: func(s *Settings) { s.Classes[0].Value = 50 }},
	"Classes.LateValue":        {change: eachClass(func(c *Class) { c.LateValue = 0.9 })},
	"Classes.Ordered":          {change: eachClass(func(c *Class) { c.Ordered = !c.Ordered })},
	"Kinds.BulkMax":            {change: func(s *Settings) { s.Kinds[0].BulkMax, s.Kinds[1].BulkMax = 4, 1 }},
	"Kinds.SeparateRoutes":     {change: func(s *Settings) { s.Kinds[0].SeparateRoutes = true }},
}

// eachClass returns a change that is applied to every class.
func eachClass(change func(*Class)) func(*Settings) {
	return func(s *Settings) {
		for i := range s.Classes {
			change(&s.Classes[i])
		}
	}
}

// withChange returns a changed copy of settings, which shares no memory with them.
func withChange(set Settings, change func(*Settings)) Settings {
	set.Classes, set.Kinds = slices.Clone(set.Classes), slices.Clone(set.Kinds)
	set.Quotas, set.RouteFees = slices.Clone(set.Quotas), slices.Clone(set.RouteFees)
	change(&set)
	return set
}

// TestEverySettingHasAChange fails if settingsChanges lacks a field of the settings, so that a new field can't be
// forgotten.
func TestEverySettingHasAChange(t *testing.T) {
	listed := map[string]bool{}
	for name := range settingsChanges {
		listed[name] = true
	}
	take := func(prefix string, of reflect.Type) {
		for i := range of.NumField() {
			name := prefix + of.Field(i).Name
			if !listed[name] {
				t.Errorf("field %s is not in settingsChanges", name)
			}
			delete(listed, name)
		}
	}
	take("", reflect.TypeFor[Settings]())
	take("Classes.", reflect.TypeFor[Class]())
	take("Kinds.", reflect.TypeFor[Kind]())
	for name := range listed {
		t.Errorf("settingsChanges has %s, which is not a field", name)
	}
}

// TestConfigureIsAsStart checks that a sender configured before any event acts like one started with the same settings,
// so that every field derived from settings is updated. Each field that the package reads must change what the sender
// does, since the comparison would prove nothing otherwise.
func TestConfigureIsAsStart(t *testing.T) {
	for name, entry := range settingsChanges {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before := loadSettings(entry.fleet)
			after := withChange(before, entry.change)
			run := func(start Settings, then *Settings) []string {
				host := &loadHost{t: t}
				host.start(start)
				if then == nil || name != "Kinds.SeparateRoutes" { // this field applies when an endpoint is first listed
					host.listEndpoints()
				}
				if then != nil {
					host.sender.Configure(withChange(*then, func(*Settings) {}))
					host.listEndpoints()
				}
				host.runUntil(loadWarmUp)
				host.trace = nil
				host.offerLoad(loadWarmUp, loadWarmUp+loadSpan)
				host.runUntil(loadWarmUp + loadSpan + 30*Second)
				return host.trace
			}
			started, configured, other := run(after, nil), run(before, &after), run(before, nil)
			if i := firstDifference(started, configured); i >= 0 {
				startedLine, configuredLine := started[i:min(len(started), i+1)], configured[i:min(len(configured), i+1)]
				t.Errorf("line %d of %d: started %q, configured %q", i, len(started), startedLine, configuredLine)
			}
			if same := firstDifference(started, other) < 0; same != entry.unread {
				t.Errorf("change without effect: %v, want %v", same, entry.unread)
			}
		})
	}
}

// firstDifference returns the index of the first element that differs, or -1.
func firstDifference(a, b []string) int {
	for i := range max(len(a), len(b)) {
		if i >= len(a) || i >= len(b) || a[i] != b[i] {
			return i
		}
	}
	return -1
}

// TestConfigureUnderLoad changes each field under load, to the new value or back from it. Every message must get one
// answer, nothing may exceed the new limits, and no state may be left over.
func TestConfigureUnderLoad(t *testing.T) {
	for name, entry := range settingsChanges {
		for _, back := range []bool{false, true} {
			before := loadSettings(entry.fleet)
			after := withChange(before, entry.change)
			if back {
				before, after = after, before
			}
			shorter := len(before.Classes) > len(after.Classes) || len(before.Kinds) > len(after.Kinds) ||
				len(before.Quotas) > len(after.Quotas)
			if shorter { // the check of settings rejects shorter lists
				continue
			}
			t.Run(fmt.Sprint(name, back), func(t *testing.T) {
				t.Parallel()
				host := &loadHost{t: t}
				host.start(before)
				host.listEndpoints()
				host.offerLoad(0, loadSpan)
				for _, at := range []Time{3*Second + 1, 6*Second + 1} { // before and during an outage
					host.schedule(at, -1, func() { host.sender.Configure(withChange(after, func(*Settings) {})) })
				}
				host.runUntil(loadSpan + 60*Second)
				if offered := int(loadSpan / loadInterval); len(host.answers) < offered {
					t.Errorf("%d answers for %d messages", len(host.answers), offered)
				}
				if left := countOpenState(host.sender); left > 0 {
					t.Errorf("%d pieces of state left over", left)
				}
				if attempts := strings.Count(strings.Join(host.trace, "\n"), "attempt"); attempts < 100 {
					t.Errorf("%d attempts, want at least 100", attempts)
				}
			})
		}
	}
}

// TestConfigureKeepsLearnedState checks that Configure keeps learned state: limits, rates, pauses, health, slow start,
// and the call times of endpoints that had calls.
func TestConfigureKeepsLearnedState(t *testing.T) {
	host := &loadHost{t: t}
	host.start(loadSettings(false))
	host.listEndpoints()
	host.offerLoad(0, loadSpan)
	host.runUntil(7 * Second)
	type known struct {
		callTimes
		healthState
		limit, errorShare, rejectedShare, answered, rejected float64
		slowStart                                            tokenBucket
		route                                                route
	}
	state := func() (all []known) {
		for _, id := range sortedKeys(host.sender.endpoints) {
			ep := host.sender.endpoints[id]
			all = append(all, known{
				callTimes: ep.callTimes, healthState: ep.healthState, slowStart: ep.slowStart, route: *ep.route,
				limit: ep.concurrencyLimit, errorShare: ep.errorShare, rejectedShare: ep.rejectedShare,
				answered: ep.recentAnswered, rejected: ep.recentRejected,
			})
		}
		return all
	}
	before := state()
	if !slices.ContainsFunc(before, func(k known) bool { return k.ejected }) {
		t.Fatal("no endpoint is ejected")
	}
	host.sender.Configure(withChange(host.sender.settings, func(s *Settings) {
		for _, entry := range settingsChanges {
			entry.change(s)
		}
	}))
	if after := state(); !reflect.DeepEqual(before, after) {
		t.Errorf("before %+v\nafter  %+v", before, after)
	}
}

// TestConfigureRenewsAssumedCallTimes checks that an endpoint without calls gets the assumed call time of the new
// settings, and that one with calls keeps its own call times.
func TestConfigureRenewsAssumedCallTimes(t *testing.T) {
	host := startSender(testSettings())
	host.mute = true
	host.accept(0, 1, "p").end(Done, 0, "a", "p")
	host.sender.Configure(withChange(testSettings(), eachClass(func(c *Class) { c.LatencyObjective = 4 * Second })))
	called, uncalled := host.endpoint("a"), host.endpoint("c")
	if called.mean != float64(200*Millisecond) || uncalled.callTimes != assumedCallTimes(float64(2*Second)) {
		t.Errorf("call times of a called endpoint %v, of another one %v", called.callTimes, uncalled.callTimes)
	}
}

// A message that must not be sent again under the new settings ends at once, without a further attempt.
func ExampleSender_Configure() {
	for _, change := range []func(*Settings){
		func(s *Settings) { s.MaxAttempts = 1 },
		eachClass(func(c *Class) { c.Repeat = NonIdempotent }),
		eachClass(func(c *Class) { c.RepeatWindow = 100 * Millisecond }),
		eachClass(func(c *Class) { c.LateValue = 0 }), // this does not forbid a retry
	} {
		set := testSettings()
		set.InFlightLimit = 1
		host := startSender(set)
		host.accept(1, 1, "p").end(Errored, 0, "a", "p").accept(1, 2, "q").advance(2 * Second)
		host.sender.Configure(withChange(set, change))
		host.sender.TurnEnd()
		host.end(Done, 0, "c", "q")
	}
	// Output:
	// 0.0     attempt p to a
	// 0.0     attempt q to c
	// 2000.0  fail p
	// 0.0     attempt p to a
	// 0.0     attempt q to c
	// 2000.0  fail p
	// 0.0     attempt p to a
	// 0.0     attempt q to c
	// 2000.0  fail p
	// 0.0     attempt p to a
	// 0.0     attempt q to c
	// 2000.0  attempt p to a
}

// New route fees change the ranking of endpoints within a tick, even if nothing else happens.
func ExampleSender_Configure_fees() {
	set := testSettings()
	set.Kinds[1].SeparateRoutes, set.RouteFees = true, []float64{0, 0.05}
	host := startSender(set)
	host.update(Entry{Endpoint: "near", Destination: 3, Kind: 1}, Entry{Endpoint: "far", Destination: 3, Kind: 1, Zone: 1})
	for _, id := range []EndpointID{"near", "far"} {
		host.sender.endpoints[id].observe(float64(200*Millisecond), 1, 1)
	}
	host.advance(Second).accept(0, 3, "p").end(Done, 0, "near", "p").advance(Second)
	host.sender.Configure(withChange(set, func(s *Settings) { s.RouteFees = []float64{0.05, 0} }))
	host.advance(tickInterval).accept(0, 3, "q")
	// Output:
	// 1000.0  attempt p to near
	// 2050.0  attempt q to far
}

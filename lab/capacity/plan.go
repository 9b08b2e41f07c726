package capacity

// The operators' plan for two years (issue 43, "The size").
const (
	Senders      = 660
	EventsS      = 570_000 // a second, all senders together
	Destinations = 61_000
	DownShare    = 0.027
	Backlog      = 1_700_000_000
	Regions      = 3
	ZonesInAll   = 8
	ZonesInEach  = 24 // 8 in each region
	ChangesADay  = 1600
	InForceS     = 6
	CoreShare    = 0.047 // of a core, for control, of each sender
	ControlMB    = 256
	ControlBS    = 4000 // bytes a second, for control, of each sender
	Restarts     = 52   // a day
	// EndsEach is ours: the plan does not say how many endpoints a destination has.
	EndsEach = 2
)

// Derived from the plan.
const (
	Down       = 1647 // Destinations x DownShare
	EventsEach = float64(EventsS) / Senders
	OpenEach   = float64(Backlog) / Senders
	Places     = Destinations * EndsEach // an endpoint of a destination in a zone of its own
)

// Target is the planned size along an axis.
type Target struct {
	Name string
	Size float64
}

// targets are the sizes that a series is extrapolated to, by its axis. Axes that are not listed are not part of the plan;
// only their slopes are reported.
var targets = map[string]Target{
	"destinations": {"destinations", Destinations},
	"open":         {"open messages a sender", OpenEach},
	"records":      {"records a sender", OpenEach},
	"waiting":      {"destinations down", Down},
	"rows":         {"places", Places},
	"places":       {"places", Places},
	"members":      {"members", Senders},
	"sightings":    {"sightings at a head: 40,000 places x 27 senders", 40_000 * 27},
	"witnesses":    {"senders a zone of 24", float64(Senders) / ZonesInEach},
	"reports":      {"reports: 8 zones x places", ZonesInAll * Places},
}

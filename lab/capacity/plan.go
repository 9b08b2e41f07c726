package capacity

// The operators' plan for two years (issue 43, "The size").
const (
	Senders               = 660
	EventsPerSecond       = 570_000 // a second, all senders together
	Destinations          = 61_000
	DownShare             = 0.027
	Backlog               = 1_700_000_000
	Regions               = 3
	ZonesPerRegion        = 8
	Zones                 = 24 // 8 in each region
	ChangesPerDay         = 1600
	InForceSeconds        = 6
	CoreShare             = 0.047 // of a core, for control, of each sender
	ControlMB             = 256
	ControlBytesPerSecond = 4000 // bytes a second, for control, of each sender
	Restarts              = 52   // a day
	// EndpointsPerDestination is ours: the plan does not say how many endpoints a destination has.
	EndpointsPerDestination = 2
)

// Derived from the plan.
const (
	DownDestinations = 1647 // Destinations x DownShare
	EventsPerSender  = float64(EventsPerSecond) / Senders
	OpenPerSender    = float64(Backlog) / Senders
	Places           = Destinations * EndpointsPerDestination // an endpoint of a destination in a zone of its own
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
	"open":         {"open messages a sender", OpenPerSender},
	"records":      {"records a sender", OpenPerSender},
	"waiting":      {"destinations down", DownDestinations},
	"rows":         {"places", Places},
	"places":       {"places", Places},
	"members":      {"members", Senders},
	"sightings":    {"sightings at a head: 40,000 places x 27 senders", 40_000 * 27},
	"witnesses":    {"senders a zone of 24", float64(Senders) / Zones},
	"reports":      {"reports: 8 zones x places", ZonesPerRegion * Places},
}

package capacity

// The size for which the operators plan over the next two years.
const (
	Senders               = 660
	EventsPerSecond       = 570_000 // messages per second of all senders together
	Destinations          = 61_000
	DownShare             = 0.027         // share of the destinations that are down
	Backlog               = 1_700_000_000 // pending messages of all senders together
	Regions               = 3
	ZonesPerRegion        = 8
	Zones                 = 24    // 8 in each region
	ChangesPerDay         = 1600  // changes of the configuration
	InForceSeconds        = 6     // time until a change of the configuration is in force
	CoreShare             = 0.047 // share of a core that the cluster code of a sender may use
	ControlMB             = 256   // memory that the cluster code of a sender may use
	ControlBytesPerSecond = 4000  // network traffic that the cluster code of a sender may cause
	Restarts              = 52    // process restarts per day
	// EndpointsPerDestination is an assumption of this package: the plan does not say how many endpoints a destination has.
	EndpointsPerDestination = 2
)

// Sizes derived from the plan.
const (
	DownDestinations = 1647                               // Destinations x DownShare
	EventsPerSender  = float64(EventsPerSecond) / Senders // messages per second
	OpenPerSender    = float64(Backlog) / Senders         // pending messages
	// Places is the number of localities, which are pairs of a destination and a zone: each endpoint of a destination is
	// assumed to be in another zone.
	Places = Destinations * EndpointsPerDestination
)

// Target is the planned size along an axis. Its fields and the text of Name are written to docs/capacity.
type Target struct {
	Name string
	Size float64
}

// targets holds the planned size of each axis that is part of the plan. Series along other axes are not extrapolated.
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

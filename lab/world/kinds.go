package world

// This file declares what may go wrong in a scenario: the kinds of fault, what they affect and what their amounts mean,
// and changes of the endpoint list. fault.go plays them.

// Fault is something that goes wrong for a time.
type Fault struct {
	Kind     string   `toml:"kind"`
	At       float64  `toml:"at"` // seconds
	Seconds  float64  `toml:"seconds"`
	Amount   float64  `toml:"amount"` // its meaning depends on the kind, see FaultKinds
	Every    float64  `toml:"every_s"`
	Selector Selector `toml:"part"`
}

// Selector chooses what a fault or a change of the list affects. A field that is left out does not narrow the choice.
type Selector struct {
	Kind     string  `toml:"kind"`
	Zone     int     `toml:"zone"`     // from 1; 0 for all
	Partners []int   `toml:"partners"` // by number, from 0
	Endpoint int     `toml:"endpoint"` // of each partner, from 1; 0 for all
	Share    float64 `toml:"share"`    // of the traffic (or of the senders); partners are drawn until it is reached
	Senders  []int   `toml:"senders"`
}

// ListEvent is a change of the endpoint list.
type ListEvent struct {
	Change   string   `toml:"what"` // drain, remove, move (to another address), back
	At       float64  `toml:"at"`
	Selector Selector `toml:"part"`
	Restart  bool     `toml:"restart"` // the endpoint comes back in slow start
}

// FaultKind says what a kind of fault affects and what its amount means.
type FaultKind struct {
	Affects string `json:"Strikes"` // endpoints, senders, discovery or clients
	Amount  string
	Default float64
	Least   float64
	Most    float64
}

// FaultKinds are the kinds of fault that a scenario may name.
var FaultKinds = map[string]FaultKind{
	"crash":            {"endpoints", "", 0, 0, 0},
	"shut":             {"endpoints", "", 0, 0, 0},
	"silent":           {"endpoints", "", 0, 0, 0},
	"hung":             {"endpoints", "", 0, 0, 0},
	"failing":          {"endpoints", "share of calls that fail", 0.6, 0, 1},
	"refusing":         {"endpoints", "share of calls refused whatever the load", 0.05, 0, 1},
	"refusing_bursts":  {"endpoints", "share of the time, in each span of every_s, in which all calls are refused", 0.05, 0, 1},
	"refusing_first":   {"endpoints", "calls refused after a pause of every_s in which none came", 2, 1, 1000},
	"lying":            {"endpoints", "share of calls refused although they ran", 0.05, 0, 1},
	"limit_swings":     {"endpoints", "share of the limit left in the second half of each span of every_s", 0.33, 0.001, 1},
	"slow":             {"endpoints", "times slower", 8, 1, 1000},
	"pausing":          {"endpoints", "milliseconds of each pause", 800, 1, 60000},
	"throttled":        {"endpoints", "share of the limit that is left", 0.4, 0, 1},
	"no_connections":   {"endpoints", "", 0, 0, 0},
	"slow_handshakes":  {"endpoints", "milliseconds more for each", 600, 1, 60000},
	"cut_off":          {"endpoints", "", 0, 0, 0},
	"resets":           {"endpoints", "share of calls on kept links", 0.3, 0, 1},
	"spoilt":           {"endpoints", "share of answers", 0.3, 0, 1},
	"never_reads":      {"endpoints", "", 0, 0, 0},
	"sender_kill":      {"senders", "", 0, 0, 0},
	"sender_roll":      {"senders", "", 0, 0, 0},
	"sender_pause":     {"senders", "", 0, 0, 0},
	"sender_cut_off":   {"senders", "", 0, 0, 0},
	"old_list":         {"senders", "", 0, 0, 0},
	"sender_reload":    {"senders", "1 for a file that cannot be read first", 0, 0, 1},
	"notes_lost":       {"senders", "share lost", 1, 0, 1},
	"discovery_late":   {"discovery", "seconds more", 5, 0, 1000},
	"discovery_stale":  {"discovery", "", 0, 0, 0},
	"discovery_silent": {"discovery", "", 0, 0, 0},
	"surge":            {"clients", "times the load", 3, 1, 1000},
	"fixed":            {"clients", "share that goes to one destination", 0.5, 0, 1},
	"impatient":        {"clients", "milliseconds of patience", 50, 1, 10000},
	"hoard":            {"clients", "connections held and not used", 100, 1, 5000},
	"rubbish":          {"clients", "broken commands a second", 20, 0.1, 1000},
}

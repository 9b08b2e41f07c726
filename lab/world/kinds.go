package world

// This file declares the faults that a scenario may contain, with what each kind affects and what its amount means, and
// changes of the endpoint list. fault.go plays the faults, directory.go the changes.

// Fault is one fault of a scenario. It lasts for Seconds from the time At, both in seconds.
type Fault struct {
	Kind     string   `toml:"kind"`
	At       float64  `toml:"at"`
	Seconds  float64  `toml:"seconds"`
	Amount   float64  `toml:"amount"`  // FaultKinds describes its meaning for each kind
	Every    float64  `toml:"every_s"` // period of a fault that recurs, in seconds
	Selector Selector `toml:"part"`
}

// Selector chooses the endpoints or senders that a fault or a change of the list affects. A field with its zero value does
// not restrict the choice.
type Selector struct {
	Kind     string  `toml:"kind"`     // kind of partner
	Zone     int     `toml:"zone"`     // zone number, from 1
	Partners []int   `toml:"partners"` // partner numbers, from 0
	Endpoint int     `toml:"endpoint"` // position among the partner's endpoints, from 1
	Share    float64 `toml:"share"`    // share of the traffic, for which partners are drawn by chance, or share of the senders
	Senders  []int   `toml:"senders"`  // sender numbers, from 0
}

// ListEvent is a change of the endpoint list.
type ListEvent struct {
	Change   string   `toml:"what"` // drain, remove, move (to another address) or back (ready again)
	At       float64  `toml:"at"`   // in seconds
	Selector Selector `toml:"part"`
	Restart  bool     `toml:"restart"` // the endpoint comes back in slow start
}

// FaultKind describes a kind of fault: what it affects and what its amount means.
type FaultKind struct {
	Affects string  `json:"Strikes"` // endpoints, senders, discovery or clients
	Amount  string  // meaning of the amount; "" if the kind has none
	Default float64 // amount of a fault that names none
	Least   float64
	Most    float64
}

// FaultKinds maps the name of each kind of fault in scenario files to its description.
var FaultKinds = map[string]FaultKind{
	"crash":            {"endpoints", "", 0, 0, 0},
	"shut":             {"endpoints", "", 0, 0, 0},
	"shut_closing":     {"endpoints", "", 0, 0, 0},
	"shut_hanging_up":  {"endpoints", "", 0, 0, 0},
	"shut_telling":     {"endpoints", "", 0, 0, 0},
	"unanswered":       {"endpoints", "", 0, 0, 0},
	"silent":           {"endpoints", "", 0, 0, 0},
	"hung":             {"endpoints", "", 0, 0, 0},
	"failing":          {"endpoints", "share of calls that fail", 0.6, 0, 1},
	"refusing":         {"endpoints", "share of calls refused whatever the load", 0.05, 0, 1},
	"refusing_bursts":  {"endpoints", "share of each period of every_s in which all calls are refused", 0.05, 0, 1},
	"refusing_first":   {"endpoints", "calls refused after every_s without a call", 2, 1, 1000},
	"lying":            {"endpoints", "share of calls refused although they were executed", 0.05, 0, 1},
	"limit_swings":     {"endpoints", "share of the limit that remains in the second half of each period of every_s", 0.33, 0.001, 1},
	"slow":             {"endpoints", "factor on the duration of calls", 8, 1, 1000},
	"pausing":          {"endpoints", "milliseconds of each pause", 800, 1, 60000},
	"throttled":        {"endpoints", "share of the limit that remains", 0.4, 0, 1},
	"no_connections":   {"endpoints", "", 0, 0, 0},
	"slow_handshakes":  {"endpoints", "additional milliseconds for each handshake", 600, 1, 60000},
	"cut_off":          {"endpoints", "", 0, 0, 0},
	"resets":           {"endpoints", "share of calls on reused connections that are reset", 0.3, 0, 1},
	"spoilt":           {"endpoints", "share of answers that are malformed", 0.3, 0, 1},
	"second_answers":   {"endpoints", "share of answers of which a second copy follows", 0.3, 0, 1},
	"never_reads":      {"endpoints", "", 0, 0, 0},
	"sender_kill":      {"senders", "", 0, 0, 0},
	"sender_roll":      {"senders", "", 0, 0, 0},
	"sender_pause":     {"senders", "", 0, 0, 0},
	"sender_cut_off":   {"senders", "", 0, 0, 0},
	"old_list":         {"senders", "", 0, 0, 0},
	"sender_reload":    {"senders", "1 to reload an unreadable file first", 0, 0, 1},
	"notes_lost":       {"senders", "share of datagrams that are lost", 1, 0, 1},
	"discovery_late":   {"discovery", "additional seconds of delay", 5, 0, 1000},
	"discovery_stale":  {"discovery", "", 0, 0, 0},
	"discovery_silent": {"discovery", "", 0, 0, 0},
	"surge":            {"clients", "factor on the load", 3, 1, 1000},
	"fixed":            {"clients", "share that goes to one destination", 0.5, 0, 1},
	"impatient":        {"clients", "milliseconds that clients wait for an answer", 50, 1, 10000},
	"hoard":            {"clients", "connections held open without use", 100, 1, 5000},
	"rubbish":          {"clients", "malformed commands a second", 20, 0.1, 1000},
}

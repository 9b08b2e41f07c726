package file

// This file defines the types into which the TOML files are decoded. The decoder prints the names of these types and
// fields in its errors, so renaming them changes error texts.

// form is a whole file.
type form struct {
	Routes    []route    `toml:"route"`
	Expects   []expect   `toml:"expect"`
	Overrides []override `toml:"override"`
	Endpoints []endpoint `toml:"endpoint"`
}

// route is a table [[route]].
type route struct {
	Name    string `toml:"name"`
	Match   match  `toml:"match"`
	Sets    []set  `toml:"set"`
	Nowhere string `toml:"nowhere"` // hold (the default) or hand_back
}

// match is the field match of a route. A field that is left out matches every message.
type match struct {
	Destination *int64 `toml:"destination"`
	Class       string `toml:"workload"`
	Tenant      string `toml:"tenant"`
	KeyPrefix   string `toml:"key_prefix"`
}

// set is a table [[route.set]].
type set struct {
	Under float64  `toml:"under"`
	To    []target `toml:"to"`
}

// target is an element of the field to of a set. A field that is left out matches every endpoint.
type target struct {
	Endpoints []string          `toml:"endpoints"`
	Zone      string            `toml:"zone"`
	Kind      string            `toml:"kind"`
	Labels    map[string]string `toml:"labels"`
	Weight    *float64          `toml:"weight"` // 1 if left out
}

// expect is a table [[expect]].
type expect struct {
	Name        string             `toml:"name"`
	Destination *int64             `toml:"destination"`
	Class       string             `toml:"workload"`
	Tenant      string             `toml:"tenant"`
	Key         string             `toml:"key"`
	Only        []string           `toml:"only"`
	Never       []string           `toml:"never"`
	AtLeast     int                `toml:"at_least"`
	Shares      map[string]float64 `toml:"shares"`
	Within      float64            `toml:"within"`
	Losses      int                `toml:"losses"`
}

// override is a table [[override]].
type override struct {
	ID          string   `toml:"id"`
	Kind        string   `toml:"kind"` // out, pin or weight
	Destination int64    `toml:"destination"`
	Class       string   `toml:"workload"`
	Endpoints   []string `toml:"endpoints"`
	Weight      float64  `toml:"weight"`
	By          string   `toml:"by"`
	Why         string   `toml:"why"`
	Minutes     float64  `toml:"minutes"` // until the override expires
}

// endpoint is a table [[endpoint]].
type endpoint struct {
	ID          string            `toml:"id"`
	Destination int64             `toml:"destination"`
	Zone        string            `toml:"zone"`
	Kind        string            `toml:"kind"`
	Labels      map[string]string `toml:"labels"`
	Draining    bool              `toml:"draining"`
}

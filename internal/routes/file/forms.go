package file

// This file defines the tables of the TOML files as they are written. The decoder prints the names of these types and of
// their fields in its errors, so they stay as they are.

// form is a file as it is written.
type form struct {
	Routes    []route    `toml:"route"`
	Expects   []expect   `toml:"expect"`
	Overrides []override `toml:"override"`
	Endpoints []endpoint `toml:"endpoint"`
}

type route struct {
	Name    string `toml:"name"`
	Match   match  `toml:"match"`
	Sets    []set  `toml:"set"`
	Nowhere string `toml:"nowhere"` // hold (the default) or hand_back
}

type match struct {
	Destination *int64 `toml:"destination"`
	Class       string `toml:"workload"`
	Tenant      string `toml:"tenant"`
	KeyPrefix   string `toml:"key_prefix"`
}

type set struct {
	Under float64  `toml:"under"`
	To    []target `toml:"to"`
}

type target struct {
	Endpoints []string          `toml:"endpoints"`
	Zone      string            `toml:"zone"`
	Kind      string            `toml:"kind"`
	Labels    map[string]string `toml:"labels"`
	Weight    *float64          `toml:"weight"` // 1 if left out
}

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

type override struct {
	ID          string   `toml:"id"`
	Kind        string   `toml:"kind"` // out, pin or weight
	Destination int64    `toml:"destination"`
	Class       string   `toml:"workload"`
	Endpoints   []string `toml:"endpoints"`
	Weight      float64  `toml:"weight"`
	By          string   `toml:"by"`
	Why         string   `toml:"why"`
	Minutes     float64  `toml:"minutes"`
}

type endpoint struct {
	ID          string            `toml:"id"`
	Destination int64             `toml:"destination"`
	Zone        string            `toml:"zone"`
	Kind        string            `toml:"kind"`
	Labels      map[string]string `toml:"labels"`
	Draining    bool              `toml:"draining"`
}

// Package config reads a sender's configuration: the environment, the configuration file and the settings object in it.
//
// It owns the checks of both: a sender can run with whatever passes them. A value that is present but wrong is never
// replaced by a guess; it is an error that names the field. settings.go converts the settings object, which the simulator
// hands over too, for the deciding module choice.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"
	"strings"

	"flaxcove/choice"
	"flaxcove/internal/directory"
	"flaxcove/internal/fielderror"
)

// Config is the configuration of one sender.
type Config struct {
	Name             string
	Listen           string
	Discovery        string
	StateDir         string // the folder that outlives the process
	Seed             int64
	Limits           Limits
	Known            directory.List
	ClassNumbers     map[string]choice.ClassNo // by name
	Accounts         map[string]choice.AccountNo
	Zones            map[string]choice.ZoneNo
	Kinds            map[string]choice.KindNo
	LoadReportFields []string // fields of load reports
	Settings         choice.Settings

	PeerListen string   // where gossip of other senders arrives; empty for nowhere
	Peers      []string // the address of each sender of the tier, by number
	PeersAll   string   // the address that reaches all of them; empty for none

	Version uint64 // of the settings that all senders of a cluster share; 0 for the file's own

	gossipAllowed   bool            // the settings allow gossip between senders
	gossipWanted    bool            // TurnOnNotes has asked for it
	ownSettings     json.RawMessage // the settings object of the file
	settingsInForce json.RawMessage // the settings object that Settings are made from
}

// Limits bound the program's use of memory, sockets and disk.
type Limits struct {
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

const (
	// maxMB is far above any machine, and in bytes far below the highest number.
	maxMB       = 1 << 40
	minMemoryMB = 16
	minSockets  = 64
)

// defaultLimits hold where the file has no limits.
var defaultLimits = Limits{MemoryMB: 192, Sockets: 1024, DiskMB: 8}

// configFile is the configuration file as written.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	State     string          `json:"state"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     directory.List  `json:"known"`
	Settings  json.RawMessage `json:"settings"`

	PeerListen string   `json:"peer_listen"`
	Peers      []string `json:"peers"`
	PeersAll   string   `json:"peers_all"`
}

// Reload reads the file again for a running sender. The environment still overrides it, except for EDGE_DISCOVERY: that
// is the address at the start, and the file may have been replaced to give another one.
func Reload(getenv func(string) string) (*Config, error) {
	return Load(func(name string) string {
		if name == "EDGE_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
}

// RestartOnlyChanges names the fields in which a configuration that was read again differs and which a running sender cannot change.
// The seed and the known list matter only at a start; once shared settings are in force, the file's settings matter to
// neither.
func (c *Config) RestartOnlyChanges(fresh *Config) (fields []string) {
	for _, f := range []struct {
		name     string
		old, new any
	}{
		{"name", c.Name, fresh.Name},
		{"listen", c.Listen, fresh.Listen},
		{"state", c.StateDir, fresh.StateDir},
		{"limits", c.Limits, fresh.Limits},
		{"settings", c.Settings, fresh.Settings},
		{"settings.classes", c.ClassNumbers, fresh.ClassNumbers},
		{"settings.accounts", c.Accounts, fresh.Accounts},
		{"settings.zones", c.Zones, fresh.Zones},
		{"settings.machineTypes", c.Kinds, fresh.Kinds},
		{"settings.stats.fields", c.LoadReportFields, fresh.LoadReportFields},
		{"peer_listen", c.PeerListen, fresh.PeerListen},
		{"peers", c.Peers, fresh.Peers},
		{"peers_all", c.PeersAll, fresh.PeersAll},
	} {
		shared := c.Version > 0 && strings.HasPrefix(f.name, settingsField)
		if !shared && !reflect.DeepEqual(f.old, f.new) {
			fields = append(fields, f.name)
		}
	}
	return fields
}

// EnableGossip turns on gossip between senders if the settings allow it and the file says where it goes. Otherwise it
// returns what is missing and changes nothing.
func (c *Config) EnableGossip() error {
	switch {
	case !c.gossipAllowed:
		return &fielderror.Error{Field: settingsField, Err: settingError("bounds.peers", "notes are not allowed")}
	case c.PeerListen == "":
		return fielderror.New("peer_listen", "missing")
	case len(c.Peers) == 0:
		return fielderror.New("peers", "missing")
	}
	c.gossipWanted, c.Settings.Notes = true, true
	return nil
}

// Load reads the file that EDGE_CONFIG names; the other EDGE_ variables override it.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG: missing; it names the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	f := configFile{Limits: defaultLimits}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, jsonError(err, ""))
	}
	c, err := f.config(getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// config checks the file and makes a configuration of it and the environment.
func (f *configFile) config(getenv func(string) string) (*Config, error) {
	c := &Config{Limits: f.Limits, Known: f.Known, PeerListen: f.PeerListen, Peers: f.Peers, PeersAll: f.PeersAll, ownSettings: f.Settings}
	if err := f.setNamesAndAddresses(c, getenv); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil && f.Seed != "" {
		return nil, fielderror.New("seed", "%q is not a hexadecimal number of 64 bits", f.Seed)
	}
	c.Seed = int64(seed)
	if err := f.Limits.check(); err != nil {
		return nil, err
	}
	settings, err := readSettings(f.Settings)
	if err != nil {
		return nil, err
	}
	if err := c.useSettings(settings, f.Settings); err != nil {
		return nil, err
	}
	return c, nil
}

// setNamesAndAddresses sets the fields that the environment may override and that must not be empty.
func (f *configFile) setNamesAndAddresses(c *Config, getenv func(string) string) error {
	for _, v := range []struct {
		to                        *string
		variable, field, fromFile string
		address                   bool
	}{
		{&c.Name, "EDGE_NAME", "name", f.Name, false},
		{&c.Listen, "EDGE_LISTEN", "listen", f.Listen, true},
		{&c.Discovery, "EDGE_DISCOVERY", "discovery", f.Discovery, true},
		{&c.StateDir, "EDGE_STATE", "state", f.State, false},
	} {
		*v.to = cmp.Or(getenv(v.variable), v.fromFile)
		if *v.to == "" {
			return fielderror.New(v.field, "missing, and %s is not set", v.variable)
		}
		if !v.address {
			continue
		}
		if _, _, err := net.SplitHostPort(*v.to); err != nil {
			return &fielderror.Error{Field: v.field, Err: err}
		}
	}
	return nil
}

// check rejects limits that are too high to count with or too low to run with.
func (l *Limits) check() error {
	switch {
	case l.MemoryMB > maxMB:
		return fielderror.New("limits.memory_mb", "%d is above %d", l.MemoryMB, int64(maxMB))
	case l.DiskMB > maxMB:
		return fielderror.New("limits.disk_mb", "%g is above %d", l.DiskMB, int64(maxMB))
	case l.MemoryMB < minMemoryMB:
		return fielderror.New("limits.memory_mb", "%d is under %d", l.MemoryMB, minMemoryMB)
	case l.Sockets < minSockets:
		return fielderror.New("limits.sockets", "%d is under %d", l.Sockets, minSockets)
	case l.DiskMB <= 0:
		return fielderror.New("limits.disk_mb", "%g is not above 0", l.DiskMB)
	}
	return nil
}

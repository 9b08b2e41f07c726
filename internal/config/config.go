// Package config reads a sender's configuration from the environment, the configuration file and the settings object in
// that file.
//
// It checks the file and the settings object: a sender can run with any configuration that passes the checks. A value
// that is present but invalid is never replaced by a default; it is an error that names the field. settings.go converts
// the settings object for package choice, which makes the decisions. The simulator uses the same settings object.
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
	"time"

	"flaxcove/choice"
	"flaxcove/internal/directory"
	"flaxcove/internal/fielderror"
)

// Config is the configuration of one sender.
type Config struct {
	Name             string
	Listen           string                      // host:port at which clients connect
	Discovery        string                      // host:port of service discovery
	StateDir         string                      // folder whose files outlive the process
	Seed             int64                       // of the random number generator; 0 if the file has none
	Limits           Limits                      // of the process
	InitialList      directory.List              // the endpoint list to start with
	ClassNumbers     map[string]choice.ClassNo   // by name
	AccountNumbers   map[string]choice.AccountNo // by name, without unnamed accounts
	ZoneNumbers      map[string]choice.ZoneNo    // by name
	KindNumbers      map[string]choice.KindNo    // by name of the machine type
	LoadReportFields []string                    // names of the fields of load reports
	DrainGrace       time.Duration               // within which calls to an endpoint end after it is drained or removed; 0 if not set
	Settings         choice.Settings             // converted from the settings object in force

	PeerListen string   // UDP address that receives gossip from other senders; empty if there is none
	Peers      []string // the address of each sender of the tier, by number
	PeersAll   string   // an address that reaches all of them; empty if there is none

	Version uint64 // of the settings that all senders of a cluster share; 0 for the file's own settings

	gossipAllowed   bool            // the settings allow gossip between senders
	gossipRequested bool            // EnableGossip has succeeded
	ownSettings     json.RawMessage // the settings object of the file
	settingsInForce json.RawMessage // the settings object from which Settings was converted
}

// Limits bounds the memory, sockets and disk space that the program uses.
type Limits struct {
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

const (
	// maxMB is far above the size of any machine, and in bytes it is far below the highest int64.
	maxMB       = 1 << 40
	minMemoryMB = 16
	minSockets  = 64
)

// defaultLimits holds the limits that the configuration file leaves out.
var defaultLimits = Limits{MemoryMB: 192, Sockets: 1024, DiskMB: 8}

// configFile is the configuration file as it is decoded, before any check.
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

// Reload reads the configuration again for a running sender. The environment overrides the file as in Load, except that
// EDGE_DISCOVERY is ignored: it is the address at the start, and the file may have been replaced to change that address.
func Reload(getenv func(string) string) (*Config, error) {
	return Load(func(name string) string {
		if name == "EDGE_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
}

// RestartOnlyChanges returns the names of the fields in which fresh differs from c and which a running sender cannot
// change. It leaves out the seed and the known list, which are used only at the start. Once shared settings are in force
// it also leaves out the file's settings, because neither a running sender nor a start uses them.
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
		{"settings.accounts", c.AccountNumbers, fresh.AccountNumbers},
		{"settings.zones", c.ZoneNumbers, fresh.ZoneNumbers},
		{"settings.machineTypes", c.KindNumbers, fresh.KindNumbers},
		{"settings.stats.fields", c.LoadReportFields, fresh.LoadReportFields},
		{"settings.rules.drainGrace", c.DrainGrace, fresh.DrainGrace},
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

// EnableGossip turns on gossip between senders. If the settings forbid it, or the file has no peer_listen or no peers,
// it returns an error that names the field and changes nothing.
func (c *Config) EnableGossip() error {
	switch {
	case !c.gossipAllowed:
		return &fielderror.Error{Field: settingsField, Err: settingError("bounds.peers", "gossip between senders is not allowed")}
	case c.PeerListen == "":
		return fielderror.New("peer_listen", "missing")
	case len(c.Peers) == 0:
		return fielderror.New("peers", "missing")
	}
	c.gossipRequested, c.Settings.Notes = true, true
	return nil
}

// Load reads the configuration from the file that EDGE_CONFIG names. The other EDGE_ variables override fields of the
// file. The error names the file and, for an invalid value, the field.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG is not set: it must name the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	f := configFile{Limits: defaultLimits}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, jsonError(err, ""))
	}
	c, err := f.toConfig(getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// toConfig checks the file and returns the configuration that follows from it and the environment.
func (f *configFile) toConfig(getenv func(string) string) (*Config, error) {
	c := &Config{Limits: f.Limits, InitialList: f.Known, PeerListen: f.PeerListen, Peers: f.Peers, PeersAll: f.PeersAll, ownSettings: f.Settings}
	if err := f.setNamesAndAddresses(c, getenv); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil && f.Seed != "" {
		return nil, fielderror.New("seed", "%q is not a 64-bit hexadecimal number", f.Seed)
	}
	c.Seed = int64(seed)
	if err := f.Limits.check(); err != nil {
		return nil, err
	}
	settings, err := readSettings(f.Settings)
	if err != nil {
		return nil, err
	}
	if err := c.applySettings(settings, f.Settings); err != nil {
		return nil, err
	}
	return c, nil
}

// setNamesAndAddresses sets the fields of c that the environment may override. None of them may be empty, and addresses
// must have a port.
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

// check rejects limits so high that sizes in bytes would overflow, and limits too low for a sender to run.
func (l *Limits) check() error {
	switch {
	case l.MemoryMB > maxMB:
		return fielderror.New("limits.memory_mb", "%d is above the maximum of %d", l.MemoryMB, int64(maxMB))
	case l.DiskMB > maxMB:
		return fielderror.New("limits.disk_mb", "%g is above the maximum of %d", l.DiskMB, int64(maxMB))
	case l.MemoryMB < minMemoryMB:
		return fielderror.New("limits.memory_mb", "%d is below the minimum of %d", l.MemoryMB, minMemoryMB)
	case l.Sockets < minSockets:
		return fielderror.New("limits.sockets", "%d is below the minimum of %d", l.Sockets, minSockets)
	case l.DiskMB <= 0:
		return fielderror.New("limits.disk_mb", "%g is not above 0", l.DiskMB)
	}
	return nil
}

// Package config reads what a sender is told: the environment, the configuration file and the settings in it.
//
// It owns the checks of both: whatever passes can be run with. It must never guess at a value that is there but
// wrong; it names the field instead. settings.go turns the settings object, which the bench hands over too, into
// what the module takes.
package config

import (
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
)

// Config is all that one sender is told.
type Config struct {
	Name         string
	Listen       string
	Discovery    string
	State        string // the folder that lasts
	Seed         int64
	Limits       Limits
	Known        directory.List
	ClassNumbers map[string]choice.ClassNo // by name
	Accounts     map[string]choice.AccountNo
	Zones        map[string]choice.ZoneNo
	Kinds        map[string]choice.KindNo
	Reports      []string // fields of load reports
	Settings     choice.Settings

	PeerListen string   // where notes of other senders arrive; empty for nowhere
	Peers      []string // the address of each sender of the tier, by number
	PeersAll   string   // the address that reaches all of them; empty for none
	mayNote    bool     // the settings allow notes between senders
	notes      bool     // and they are wanted

	Version      uint64          // of the settings that all senders of a cluster share; 0 for the file's own
	own, inForce json.RawMessage // the settings object of the file, and the one that Settings are made of
}

// Limits bind all that the program holds.
type Limits struct {
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

// mostMB is far above any machine and far below what passes the highest number in bytes.
const mostMB = 1 << 40

type file struct {
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

// Reload reads the file anew for a running sender. The other variables still go before it, but not EDGE_DISCOVERY:
// that tells of the start, and the file may have been replaced to tell otherwise.
func Reload(getenv func(string) string) (*Config, error) {
	return Load(func(name string) string {
		if name == "EDGE_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
}

// Fixed names the fields in which a configuration read anew differs and which a running sender keeps. The seed and
// the known list are for starts alone; so are the file's settings once shared ones are in force, at the next start too.
func (c *Config) Fixed(fresh *Config) (fields []string) {
	for _, f := range []struct {
		name     string
		old, new any
	}{
		{"name", c.Name, fresh.Name}, {"listen", c.Listen, fresh.Listen}, {"state", c.State, fresh.State},
		{"limits", c.Limits, fresh.Limits}, {"settings", c.Settings, fresh.Settings},
		{"settings.classes", c.ClassNumbers, fresh.ClassNumbers}, {"settings.accounts", c.Accounts, fresh.Accounts}, {"settings.zones", c.Zones, fresh.Zones},
		{"settings.machineTypes", c.Kinds, fresh.Kinds}, {"settings.stats.fields", c.Reports, fresh.Reports},
		{"peer_listen", c.PeerListen, fresh.PeerListen}, {"peers", c.Peers, fresh.Peers}, {"peers_all", c.PeersAll, fresh.PeersAll},
	} {
		shared := c.Version > 0 && strings.HasPrefix(f.name, "settings")
		if !shared && !reflect.DeepEqual(f.old, f.new) {
			fields = append(fields, f.name)
		}
	}
	return fields
}

// TurnOnNotes has notes go between senders, where that can be: the settings allow them, and the file says where they go.
// Else it tells why not, and nothing is changed.
func (c *Config) TurnOnNotes() error {
	switch {
	case !c.mayNote:
		return errors.New("field settings: bounds.peers: notes are not allowed")
	case c.PeerListen == "":
		return errors.New("field peer_listen: missing")
	case len(c.Peers) == 0:
		return errors.New("field peers: missing")
	}
	c.notes, c.Settings.Notes = true, true
	return nil
}

// Load reads the file that EDGE_CONFIG names; the other EDGE_ variables go before what it says.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG: missing; it names the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	f := file{Limits: Limits{MemoryMB: 192, Sockets: 1024, DiskMB: 8}}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, misfit(err, ""))
	}
	c, err := f.check(getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// misfit names the field, behind a prefix, whose value has not its type.
func misfit(err error, prefix string) error {
	var kind *json.UnmarshalTypeError
	if !errors.As(err, &kind) {
		return err
	}
	return fmt.Errorf("field %s: %s does not fit", strings.TrimSuffix(prefix+kind.Field, "."), kind.Value)
}

func (f *file) check(getenv func(string) string) (*Config, error) {
	c := &Config{Limits: f.Limits, Known: f.Known}
	for _, v := range []struct {
		to                        *string
		variable, field, fromFile string
		address                   bool
	}{
		{&c.Name, "EDGE_NAME", "name", f.Name, false},
		{&c.Listen, "EDGE_LISTEN", "listen", f.Listen, true},
		{&c.Discovery, "EDGE_DISCOVERY", "discovery", f.Discovery, true},
		{&c.State, "EDGE_STATE", "state", f.State, false},
	} {
		if *v.to = getenv(v.variable); *v.to == "" {
			*v.to = v.fromFile
		}
		if *v.to == "" {
			return nil, fmt.Errorf("field %s: missing, and %s is not set", v.field, v.variable)
		}
		if v.address {
			if _, _, err := net.SplitHostPort(*v.to); err != nil {
				return nil, fmt.Errorf("field %s: %w", v.field, err)
			}
		}
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil && f.Seed != "" {
		return nil, fmt.Errorf("field seed: %q is not a hexadecimal number of 64 bits", f.Seed)
	}
	c.Seed = int64(seed)
	switch {
	case f.Limits.MemoryMB > mostMB:
		return nil, fmt.Errorf("field limits.memory_mb: %d is above %d", f.Limits.MemoryMB, int64(mostMB))
	case f.Limits.DiskMB > mostMB:
		return nil, fmt.Errorf("field limits.disk_mb: %g is above %d", f.Limits.DiskMB, int64(mostMB))
	case f.Limits.MemoryMB < 16:
		return nil, fmt.Errorf("field limits.memory_mb: %d is under 16", f.Limits.MemoryMB)
	case f.Limits.Sockets < 64:
		return nil, fmt.Errorf("field limits.sockets: %d is under 64", f.Limits.Sockets)
	case f.Limits.DiskMB <= 0:
		return nil, fmt.Errorf("field limits.disk_mb: %g is not above 0", f.Limits.DiskMB)
	}
	boot, err := readSettings(f.Settings)
	if err != nil {
		return nil, err
	}
	c.own, c.PeerListen, c.Peers, c.PeersAll = f.Settings, f.PeerListen, f.Peers, f.PeersAll
	if err := c.take(boot, f.Settings); err != nil {
		return nil, err
	}
	return c, nil
}

// Package mesh gives each process of a cluster its own addresses and connects each ordered pair of processes by relays.
//
// It opens the relays and generates the cluster file of each process, which lists the addresses of the relays to every other
// process.
package mesh

import (
	"errors"
	"fmt"
	"net"
	"strings"

	"flaxcove/lab/cluster/relay"
)

// Ports are the keys of a process's listen addresses in a cluster file, in the order of their port numbers.
var Ports = []string{"gossip", "council", "http"}

// maxProcesses is the number of processes for which the loopback networks of relayAddr suffice.
const maxProcesses = 120

// Process describes one process of the cluster. Small selects the small size.
type Process struct {
	Name   string
	Zone   string
	Region string
	Small  bool
}

// Options are the inputs of Open.
type Options struct {
	Cluster   string
	Processes []Process
	Founders  []string
	Uses      []string // keys of the table uses in the cluster file, for example failover
	Bounds    map[string]int
}

// Mesh holds all relays of a cluster. Its methods may be called concurrently.
type Mesh struct {
	options  Options
	basePort int
	relays   map[[2]int][]*relay.Relay // by sending and receiving process, one relay for each of Ports
}

// Open opens the relays on the first port, from firstPort up, at which all addresses are free. It returns the error of the
// last of 20 attempts.
func Open(o Options, firstPort int) (*Mesh, error) {
	if len(o.Processes) > maxProcesses {
		return nil, fmt.Errorf("mesh of %d processes: at most %d are possible", len(o.Processes), maxProcesses)
	}
	var err error
	for attempt := range 20 {
		m := &Mesh{options: o, basePort: firstPort + attempt*17, relays: map[[2]int][]*relay.Relay{}}
		if err = m.open(); err == nil {
			return m, nil
		}
		m.Close()
	}
	return nil, err
}

func (m *Mesh) open() error {
	for i := range m.options.Processes {
		for p := range Ports {
			// The address at which the process itself will listen must be free, too.
			ln, err := net.Listen("tcp", m.ownAddr(i, p))
			if err != nil {
				return err
			}
			ln.Close()
		}
		for j := range m.options.Processes {
			if i == j {
				continue
			}
			for p := range Ports {
				r, err := relay.Open(m.relayAddr(i, j, p), m.ownAddr(j, p))
				if err != nil {
					return err
				}
				m.relays[[2]int{i, j}] = append(m.relays[[2]int{i, j}], r)
			}
		}
	}
	return nil
}

func (m *Mesh) ownAddr(i, port int) string {
	return fmt.Sprintf("127.120.0.%d:%d", 1+i, m.basePort+port)
}

func (m *Mesh) relayAddr(from, to, port int) string {
	return fmt.Sprintf("127.%d.0.%d:%d", 121+from, 1+to, m.basePort+port)
}

// HTTP returns the address of a process's own HTTP listener, which no relay precedes.
func (m *Mesh) HTTP(i int) string { return m.ownAddr(i, 2) }

// Set applies a fault to everything that one process sends to another, regardless of who opened the connection. It does not
// affect the opposite direction.
func (m *Mesh) Set(from, to int, f relay.Fault) {
	for _, r := range m.relays[[2]int{from, to}] {
		r.Set(relay.Forward, f)
	}
	back := f
	back.Refuse = false // only connections that from opens are refused
	for _, r := range m.relays[[2]int{to, from}] {
		r.Set(relay.Backward, back)
	}
}

// Reset resets all connections that one process opened to another.
func (m *Mesh) Reset(from, to int) {
	for _, r := range m.relays[[2]int{from, to}] {
		r.Reset()
	}
}

// Close closes all relays.
func (m *Mesh) Close() {
	for _, all := range m.relays {
		for _, r := range all {
			r.Close()
		}
	}
}

// ClusterFile returns the text of the cluster file of process i, which keeps its part of the cluster's state in folder. It
// returns an error if a zone lies in two regions.
func (m *Mesh) ClusterFile(i int, folder string) ([]byte, error) {
	f := &clusterFile{}
	self := m.options.Processes[i]
	f.line("name = %q\nfounders = [%s]\n", m.options.Cluster, quotedList(m.options.Founders))
	f.line("[here]\nprocess = %q\nzone = %q\nfolder = %q", self.Name, self.Zone, folder)
	if self.Small {
		f.line("size = \"small\"")
	}
	for p, name := range Ports {
		f.line("%s = %q", name, m.ownAddr(i, p))
	}
	if err := f.zones(m.options.Processes); err != nil {
		return nil, err
	}
	f.line("\n[uses]")
	for _, use := range m.options.Uses {
		f.line("%s = true", use)
	}
	if len(m.options.Bounds) > 0 {
		f.line("\n[bounds]")
		for _, name := range sortedKeys(m.options.Bounds) {
			f.line("%s = %d", name, m.options.Bounds[name])
		}
	}
	for j, p := range m.options.Processes {
		f.line("\n[[member]]\nname = %q\nzone = %q", p.Name, p.Zone)
		for port, name := range Ports {
			if j == i {
				f.line("%s = %q", name, m.ownAddr(j, port))
			} else {
				f.line("%s = %q", name, m.relayAddr(i, j, port))
			}
		}
	}
	return []byte(f.text.String()), nil
}

// clusterFile collects the text of a cluster file.
type clusterFile struct{ text strings.Builder }

func (f *clusterFile) line(format string, args ...any) { fmt.Fprintf(&f.text, format+"\n", args...) }

// zones writes the table of zones, with the region of each.
func (f *clusterFile) zones(processes []Process) error {
	f.line("\n[zones]")
	regions := map[string]string{}
	for _, p := range processes {
		if region, known := regions[p.Zone]; !known {
			regions[p.Zone] = p.Region
			f.line("%s = %q", p.Zone, p.Region)
		} else if region != p.Region {
			return errors.New("zone " + p.Zone + " is given two regions")
		}
	}
	return nil
}

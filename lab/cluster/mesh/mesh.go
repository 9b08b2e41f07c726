// Package mesh gives each process of a cluster addresses of its own, and each ordered pair a relay.
//
// It owns the relays and the text of each process's cluster file, in which every other process stands with the relays
// that lead to it. It must never start a process.
package mesh

import (
	"errors"
	"fmt"
	"net"
	"strings"

	"flaxcove/lab/cluster/relay"
)

// Ports are what one process listens at, in the order of their ports.
var Ports = []string{"gossip", "council", "http"}

// maxProcesses is set by the loopback addresses that the scheme below has.
const maxProcesses = 120

// Process is one process of the cluster.
type Process struct {
	Name   string
	Zone   string
	Region string
	Small  bool
}

// Options are what a mesh is made from.
type Options struct {
	Cluster   string
	Processes []Process
	Founders  []string
	Uses      []string // failover, purges, popularity
	Bounds    map[string]int
}

// Mesh is all relays of a cluster. Its methods may be called from any goroutine.
type Mesh struct {
	o      Options
	port   int
	relays map[[2]int][]*relay.Relay // by from and to, one for each of Ports
}

// Open makes the relays on a port that is free on all addresses.
func Open(o Options, firstPort int) (*Mesh, error) {
	if len(o.Processes) > maxProcesses {
		return nil, fmt.Errorf("%d processes, %d at most", len(o.Processes), maxProcesses)
	}
	var err error
	for try := range 20 {
		m := &Mesh{o: o, port: firstPort + try*17, relays: map[[2]int][]*relay.Relay{}}
		if err = m.open(); err == nil {
			return m, nil
		}
		m.Close()
	}
	return nil, err
}

func (m *Mesh) open() error {
	for i := range m.o.Processes {
		for p := range Ports {
			// A process's own addresses must be free too.
			ln, err := net.Listen("tcp", m.ownAddr(i, p))
			if err != nil {
				return err
			}
			ln.Close()
		}
		for j := range m.o.Processes {
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

func (m *Mesh) ownAddr(i, port int) string { return fmt.Sprintf("127.120.0.%d:%d", 1+i, m.port+port) }

func (m *Mesh) relayAddr(from, to, port int) string {
	return fmt.Sprintf("127.%d.0.%d:%d", 121+from, 1+to, m.port+port)
}

// HTTP is where a process's own listener is, with no relay before it.
func (m *Mesh) HTTP(i int) string { return m.ownAddr(i, 2) }

// Set has what one process sends to another meet a fault, on whichever connection it goes; what comes back does not.
func (m *Mesh) Set(from, to int, f relay.Fault) {
	for _, r := range m.relays[[2]int{from, to}] {
		r.Set(relay.Forward, f)
	}
	back := f
	back.Refuse = false // connections are refused to whom they begin with
	for _, r := range m.relays[[2]int{to, from}] {
		r.Set(relay.Backward, back)
	}
}

// Reset ends all connections from one process to another.
func (m *Mesh) Reset(from, to int) {
	for _, r := range m.relays[[2]int{from, to}] {
		r.Reset()
	}
}

// Close ends all relays.
func (m *Mesh) Close() {
	for _, all := range m.relays {
		for _, r := range all {
			r.Close()
		}
	}
}

// ClusterFile is the text of one process's cluster file. The process keeps its part of the cluster's state in folder.
func (m *Mesh) ClusterFile(i int, folder string) ([]byte, error) {
	f := &clusterFile{}
	self := m.o.Processes[i]
	f.line("name = %q\nfounders = [%s]\n", m.o.Cluster, quoted(m.o.Founders))
	f.line("[here]\nprocess = %q\nzone = %q\nfolder = %q", self.Name, self.Zone, folder)
	if self.Small {
		f.line("size = \"small\"")
	}
	for p, name := range Ports {
		f.line("%s = %q", name, m.ownAddr(i, p))
	}
	if err := f.zones(m.o.Processes); err != nil {
		return nil, err
	}
	f.line("\n[uses]")
	for _, use := range m.o.Uses {
		f.line("%s = true", use)
	}
	if len(m.o.Bounds) > 0 {
		f.line("\n[bounds]")
		for _, name := range sorted(m.o.Bounds) {
			f.line("%s = %d", name, m.o.Bounds[name])
		}
	}
	for j, p := range m.o.Processes {
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

// clusterFile is the text of a cluster file as it is written.
type clusterFile struct{ text strings.Builder }

func (f *clusterFile) line(format string, args ...any) { fmt.Fprintf(&f.text, format+"\n", args...) }

// zones writes the region of each zone.
func (f *clusterFile) zones(processes []Process) error {
	f.line("\n[zones]")
	regions := map[string]string{}
	for _, p := range processes {
		if region, known := regions[p.Zone]; !known {
			regions[p.Zone] = p.Region
			f.line("%s = %q", p.Zone, p.Region)
		} else if region != p.Region {
			return errors.New("zone " + p.Zone + " lies in two regions")
		}
	}
	return nil
}

// Package mesh gives each process of a cluster addresses of its own, and each ordered pair a relay.
//
// It opens the relays and writes each process's cluster file, which names every other process by the relays that lead to
// it.
package mesh

import (
	"errors"
	"fmt"
	"net"
	"strings"

	"flaxcove/lab/cluster/relay"
)

// Ports are the listeners of a process, in the order of their port numbers.
var Ports = []string{"gossip", "council", "http"}

// maxProcesses is how many processes the loopback addresses below suffice for.
const maxProcesses = 120

// Process is one process of the cluster.
type Process struct {
	Name   string
	Zone   string
	Region string
	Small  bool
}

// Options describe a mesh.
type Options struct {
	Cluster   string
	Processes []Process
	Founders  []string
	Uses      []string // failover, purges, popularity
	Bounds    map[string]int
}

// Mesh holds all relays of a cluster. Its methods may be called from any goroutine.
type Mesh struct {
	o      Options
	port   int
	relays map[[2]int][]*relay.Relay // by from and to, one for each of Ports
}

// Open opens the relays, on ports that are free on all addresses.
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

// HTTP is the address of a process's own HTTP listener, without a relay.
func (m *Mesh) HTTP(i int) string { return m.ownAddr(i, 2) }

// Set applies a fault to what one process sends to another, whichever of them opened the connection. The other direction is
// not affected.
func (m *Mesh) Set(from, to int, f relay.Fault) {
	for _, r := range m.relays[[2]int{from, to}] {
		r.Set(relay.Forward, f)
	}
	back := f
	back.Refuse = false // only connections that the first process opens are refused
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

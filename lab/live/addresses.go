package live

// This file assigns loopback addresses to senders, discovery and endpoints, and moves discovery to another address.

import (
	"fmt"
	"net"
	"os"
	"path/filepath"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

// open finds a port that is free on all addresses of the run, and listens there.
func (e *engine) open() error {
	var err error
	for try := range 50 {
		e.port = 20000 + (os.Getpid()*7+try*131)%10000
		if err = e.listenAll(); err == nil {
			return nil
		}
		for _, l := range e.listeners {
			l.close()
		}
		for _, d := range e.discoveries {
			d.close()
		}
		e.listeners, e.discoveries = map[listenerKey]*listener{}, nil
	}
	return err
}

func (e *engine) listenAll() error {
	for s := range e.o.Spec.Senders {
		d, err := e.newDiscovery(world.SenderNo(s))
		if err != nil {
			return err
		}
		e.discoveries = append(e.discoveries, d)
		// The sender's own address must be free too.
		ln, err := net.Listen("tcp", e.senderAddr(world.SenderNo(s)))
		if err != nil {
			return err
		}
		ln.Close()
		for _, end := range e.w.Endpoints {
			if err := e.listenEndpoint(world.SenderNo(s), end); err != nil {
				return err
			}
		}
	}
	return nil
}

// senderAddr is a sender's own address. All addresses of a run are loopback, and those of discovery and of the endpoints
// differ by sender.
func (e *engine) senderAddr(s world.SenderNo) string {
	return fmt.Sprintf("127.8.%d.%d:%d", int(s)/250, 1+int(s)%250, e.port)
}

func (e *engine) discoveryAddr(s world.SenderNo) string {
	// Each move of discovery takes the next address.
	return fmt.Sprintf("127.%d.%d.%d:%d", 9+e.discoveryMoves[s]%2*2, int(s)/250+e.discoveryMoves[s]/2*4, 1+int(s)%250, e.port)
}

// oldDiscoveryPeriod is how long discovery still answers at the address that it left: a sender keeps its watch there until
// it has a list from the new address.
const oldDiscoveryPeriod = 2 * choice.Second

// moveDiscovery moves a sender's discovery and platform to another address, and has its process reload its configuration.
func (e *engine) moveDiscovery(s world.SenderNo) {
	p, old := e.senders[s], e.discoveries[s]
	e.discoveryMoves[s]++
	d, err := e.newDiscovery(s)
	if err == nil {
		e.discoveries[s] = d
		var text []byte
		if text, err = p.configuration(); err == nil {
			p.reload(text)
		}
	}
	if err != nil {
		e.failure = fmt.Sprintf("discovery of sender %d cannot move: %v", s, err)
		return
	}
	e.w.After(oldDiscoveryPeriod, old.close)
}

func (e *engine) endpointAddr(s world.SenderNo, end world.EndpointNo, addr int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+int(s), int(end)/250+20*(addr%12), 1+int(end)%250, e.port)
}

// makeFolder creates a folder below the given one, or below the run's own temporary folder.
func (e *engine) makeFolder(under, name string) (string, error) {
	if under == "" {
		under = e.tempDir
	}
	path := filepath.Join(under, name)
	return path, os.MkdirAll(path, 0o755)
}

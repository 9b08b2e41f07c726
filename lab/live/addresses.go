package live

// This file assigns loopback addresses to senders, discovery servers and endpoints, and moves discovery to another address.

import (
	"fmt"
	"net"
	"os"
	"path/filepath"

	"flaxcove/choice"
	"flaxcove/lab/world"
)

// open finds a port that is free on all addresses of the run, and listens on it at the addresses of discovery and endpoints.
// It returns the last error if 50 ports are not free.
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

// listenAll listens at all addresses of discovery and endpoints, and checks that the senders' own addresses are free.
func (e *engine) listenAll() error {
	for s := range e.opts.Spec.Senders {
		d, err := e.newDiscovery(world.SenderNo(s))
		if err != nil {
			return err
		}
		e.discoveries = append(e.discoveries, d)
		// The sender itself will listen at this address, so it must be free too.
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

// senderAddr returns the address at which a sender serves clients. All addresses of a run are loopback addresses. Each sender
// has its own addresses of discovery and of the endpoints.
func (e *engine) senderAddr(s world.SenderNo) string {
	return fmt.Sprintf("127.8.%d.%d:%d", int(s)/250, 1+int(s)%250, e.port)
}

// discoveryAddr returns the address of a sender's discovery. It changes with each move.
func (e *engine) discoveryAddr(s world.SenderNo) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 9+e.discoveryMoves[s]%2*2, int(s)/250+e.discoveryMoves[s]/2*4, 1+int(s)%250, e.port)
}

// oldDiscoveryPeriod is how long discovery still answers at its former address after a move. A sender keeps its watch there
// until it has a list from the new address.
const oldDiscoveryPeriod = 2 * choice.Second

// moveDiscovery moves a sender's discovery server, which also receives outcome callbacks, to another address, and makes the
// sender's process reload its configuration.
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
		e.failure = fmt.Sprintf("discovery of sender %d cannot move to another address: %v", s, err)
		return
	}
	e.w.After(oldDiscoveryPeriod, old.close)
}

// endpointAddr returns the address of an endpoint for a sender. The parameter addr is the number of the endpoint's address.
func (e *engine) endpointAddr(s world.SenderNo, end world.EndpointNo, addr int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+int(s), int(end)/250+20*(addr%12), 1+int(end)%250, e.port)
}

// makeFolder creates a folder in the folder under, or in the run's temporary folder if under is "".
func (e *engine) makeFolder(under, name string) (string, error) {
	if under == "" {
		under = e.tempDir
	}
	path := filepath.Join(under, name)
	return path, os.MkdirAll(path, 0o755)
}

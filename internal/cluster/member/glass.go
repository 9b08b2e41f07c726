package member

// This file shows what the library knows of each process: alive, suspected, left or dead, at one moment.
//
// The library lists only those that are not gone, does not tell a suspected one from one that is well, and calls
// leaving and dying by one name. Its states are told in one place alone: to the delegate that is asked, on a full
// exchange, whether two fleets may merge. So a second instance of the library, without sockets, probes or gossip, is
// held up to the first as a looking-glass: the first "joins" it over a pipe in memory, the glass is told all states,
// and both refuse the merge, so that nothing comes of it. A real exchange goes to the first instance's delegate and
// never to the glass's, so the two cannot be mixed up.

import (
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	glassName = "(glass)"
	// lookFor bounds one look. It crosses no network: more means that the process itself stands still.
	lookFor = time.Second
)

var errGlass = errors.New("only a look: nothing is merged")

type glass struct {
	list    *memberlist.Memberlist
	streams chan net.Conn
	packets chan *memberlist.Packet // never any
	shown   chan []*memberlist.Node
}

func newGlass(label string) (*glass, error) {
	g := &glass{streams: make(chan net.Conn, 1), packets: make(chan *memberlist.Packet),
		shown: make(chan []*memberlist.Node, 1)}
	conf := base(glassName, label)
	conf.Transport, conf.Merge = g, g
	conf.ProbeInterval, conf.GossipInterval, conf.PushPullInterval = 0, 0, 0
	conf.Logger = log.New(io.Discard, "", 0) // it reports each refused merge
	list, err := memberlist.Create(conf)
	if err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	g.list = list
	return g, nil
}

// look has the list show all that it knows. For one goroutine only.
func (g *glass) look(list *memberlist.Memberlist) ([]*memberlist.Node, error) {
	select {
	case <-g.shown: // of a look that came too late
	default:
	}
	_, refused := list.Join([]string{glassName + "/" + nowhere})
	late := time.NewTimer(lookFor)
	defer late.Stop()
	select {
	case nodes := <-g.shown:
		return nodes, nil
	case <-late.C:
		return nil, fmt.Errorf("nothing was shown in time: %w", refused)
	}
}

// NotifyMerge is told all states, and refuses.
func (g *glass) NotifyMerge(nodes []*memberlist.Node) error {
	select {
	case g.shown <- nodes:
	default:
	}
	return errGlass
}

// dial gives the list's end of a pipe whose other end the glass serves.
func (g *glass) dial(timeout time.Duration) (net.Conn, error) {
	mine, theirs := net.Pipe()
	late := time.NewTimer(timeout)
	defer late.Stop()
	select {
	case g.streams <- theirs:
		return mine, nil
	case <-late.C:
		return nil, errors.Join(errors.New("the glass takes nothing up"), mine.Close(), theirs.Close())
	}
}

// The rest is a transport that leads nowhere.

func (g *glass) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return net.IPv4(127, 0, 0, 1).To4(), 1, nil
}
func (g *glass) WriteTo([]byte, string) (time.Time, error)           { return time.Now(), nil }
func (g *glass) PacketCh() <-chan *memberlist.Packet                 { return g.packets }
func (g *glass) DialTimeout(string, time.Duration) (net.Conn, error) { return nil, errNoWay }
func (g *glass) StreamCh() <-chan net.Conn                           { return g.streams }
func (g *glass) Shutdown() error                                     { return nil }

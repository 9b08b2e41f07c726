package member

// This file turns what a process tells of itself into the few bytes that travel with its name, and back.

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/hashicorp/memberlist"

	"flaxcove/internal/cluster/member/roster"
	"flaxcove/internal/cluster/view"
)

// card is a member as it travels. Its keys are short, as the library allows 512 bytes and sends all cards again with
// each full exchange; what is usual is left out.
type card struct {
	Incarnation view.Incarnation `json:"i"`
	Zone        view.Zone        `json:"z,omitempty"`
	Region      view.Region      `json:"r,omitempty"`
	Small       bool             `json:"s,omitempty"`
	Gossip      string           `json:"g,omitempty"`
	HTTP        string           `json:"h,omitempty"`
	Consensus   string           `json:"c,omitempty"`
	Empty       bool             `json:"e,omitempty"`
	Folder      string           `json:"d,omitempty"`
	Voted       bool             `json:"v,omitempty"`
}

// encode is a member's card. It fails when the card is longer than the library carries.
func encode(s roster.Seen) ([]byte, error) {
	m := s.Member
	body, err := json.Marshal(card{m.Incarnation, m.Zone, m.Region, m.Size == view.Small, s.Gossip, m.HTTP, m.Raft,
		m.Empty, m.Folder, m.Voted})
	if err != nil {
		return nil, err
	}
	if len(body) > memberlist.MetaMaxSize {
		return nil, fmt.Errorf("member %q: what it tells of itself takes %d bytes, at most %d are carried: "+
			"shorten its zone, region, folder or addresses", m.Name, len(body), memberlist.MetaMaxSize)
	}
	return body, nil
}

var states = map[memberlist.NodeStateType]view.State{
	memberlist.StateAlive: view.Alive, memberlist.StateSuspect: view.Suspected,
	memberlist.StateLeft: view.Left, memberlist.StateDead: view.Dead,
}

// decode reads the card of a process that the library knows of.
func decode(n *memberlist.Node) (roster.Seen, error) {
	var c card
	if err := json.Unmarshal(n.Meta, &c); err != nil {
		return roster.Seen{}, fmt.Errorf("member %q: its card cannot be read: %w", n.Name, err)
	}
	if c.Incarnation == 0 {
		return roster.Seen{}, fmt.Errorf("member %q: its card tells no incarnation", n.Name)
	}
	size := view.Large
	if c.Small {
		size = view.Small
	}
	return roster.Seen{Gossip: c.Gossip, Member: view.Member{
		Life: view.Life{Name: view.Name(n.Name), Incarnation: c.Incarnation},
		Zone: c.Zone, Region: c.Region, Size: size, State: states[n.State], HTTP: c.HTTP, Raft: c.Consensus,
		Empty: c.Empty, Folder: c.Folder, Voted: c.Voted,
	}}, nil
}

// cards holds the last card read of each name, so that one is read anew only where it changed: reading the same cards
// again took two thirds of a look, and of all that gossip and exchanges bring. A look empties it of those no longer shown.
type cards map[string]cardRead

type cardRead struct {
	meta []byte
	seen roster.Seen
	err  error
}

// find is the card of a node.
func (c cards) find(n *memberlist.Node) cardRead {
	one, known := c[n.Name]
	if !known || !bytes.Equal(one.meta, n.Meta) {
		one.meta = bytes.Clone(n.Meta)
		one.seen, one.err = decode(n)
	}
	return one
}

// show holds the cards of all nodes that a look shows, in place of those before, and returns them in the nodes' order
// with their states as of now.
func (c *cards) show(nodes []*memberlist.Node) []cardRead {
	all, next := make([]cardRead, 0, len(nodes)), make(cards, len(nodes))
	for _, n := range nodes {
		one := c.find(n)
		one.seen.Member.State = states[n.State]
		next[n.Name] = one
		all = append(all, one)
	}
	*c = next
	return all
}

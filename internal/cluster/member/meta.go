package member

// This file encodes what a process announces of itself as the metadata that memberlist gossips with its name, and
// decodes and caches that of others.

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/hashicorp/memberlist"

	"flaxcove/internal/cluster/member/roster"
	"flaxcove/internal/cluster/view"
)

// nodeMeta is a member on the wire. Its keys are short, as the library allows 512 bytes and sends all metadata again
// with each push/pull exchange; usual values are omitted.
type nodeMeta struct {
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

// encodeMeta returns a member's metadata. It fails when that is longer than the library carries.
func encodeMeta(s roster.Observation) ([]byte, error) {
	m := s.Member
	body, err := json.Marshal(nodeMeta{m.Incarnation, m.Zone, m.Region, m.Size == view.Small, s.GossipAddr, m.HTTP, m.Raft,
		m.Empty, m.Folder, m.HasRecords})
	if err != nil {
		return nil, err
	}
	if len(body) > memberlist.MetaMaxSize {
		return nil, fmt.Errorf("member %q: its metadata takes %d bytes, at most %d are carried: "+
			"shorten its zone, region, folder or addresses", m.Name, len(body), memberlist.MetaMaxSize)
	}
	return body, nil
}

// stateOf maps the library's states to those of package view.
var stateOf = map[memberlist.NodeStateType]view.State{
	memberlist.StateAlive: view.Alive, memberlist.StateSuspect: view.Suspected,
	memberlist.StateLeft: view.Left, memberlist.StateDead: view.Dead,
}

// decodeMeta reads the metadata and state of a process that the library knows.
func decodeMeta(n *memberlist.Node) (roster.Observation, error) {
	var meta nodeMeta
	if err := json.Unmarshal(n.Meta, &meta); err != nil {
		return roster.Observation{}, fmt.Errorf("member %q: its metadata cannot be read: %w", n.Name, err)
	}
	if meta.Incarnation == 0 {
		return roster.Observation{}, fmt.Errorf("member %q: its metadata has no incarnation", n.Name)
	}
	size := view.Large
	if meta.Small {
		size = view.Small
	}
	return roster.Observation{GossipAddr: meta.Gossip, Member: view.Member{
		Life: view.Life{Name: view.Name(n.Name), Incarnation: meta.Incarnation},
		Zone: meta.Zone, Region: meta.Region, Size: size, State: stateOf[n.State], HTTP: meta.HTTP, Raft: meta.Consensus,
		Empty: meta.Empty, Folder: meta.Folder, HasRecords: meta.Voted,
	}}, nil
}

// metaCache holds the last metadata decoded of each name, so that it is decoded again only where it changed: decoding
// unchanged metadata took two thirds of a snapshot, and of all that gossip and exchanges bring. Each snapshot drops the
// names that it no longer holds.
type metaCache map[string]decodedMeta

// decodedMeta is one member's metadata as received, and what it decodes to.
type decodedMeta struct {
	meta     []byte
	observed roster.Observation
	err      error
}

// lookup returns a node's metadata, decoded if it is not the cached one. It does not store it.
func (c metaCache) lookup(n *memberlist.Node) decodedMeta {
	entry, known := c[n.Name]
	if !known || !bytes.Equal(entry.meta, n.Meta) {
		entry.meta = bytes.Clone(n.Meta)
		entry.observed, entry.err = decodeMeta(n)
	}
	return entry
}

// refresh replaces the cache's content by the metadata of a snapshot's nodes, and returns it in the nodes' order with
// their present states.
func (c *metaCache) refresh(nodes []*memberlist.Node) []decodedMeta {
	entries, next := make([]decodedMeta, 0, len(nodes)), make(metaCache, len(nodes))
	for _, n := range nodes {
		entry := c.lookup(n)
		entry.observed.Member.State = stateOf[n.State]
		next[n.Name] = entry
		entries = append(entries, entry)
	}
	*c = next
	return entries
}

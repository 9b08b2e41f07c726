package link

import (
	"maps"
	"sync"

	"flaxcove/internal/cluster/view"
)

// This file counts calls and the bytes of their bodies by path, and applies the network partition of a test rig.

// Volume counts the calls of one path since the start, and the bytes of their bodies, without headers.
type Volume struct {
	Calls   uint64 `json:"calls"`   // calls made by this process
	Answers uint64 `json:"answers"` // calls answered by this process
	In      uint64 `json:"in"`      // bytes received
	Out     uint64 `json:"out"`     // bytes sent
}

// volumes holds a Volume for each path that was called or answered. The number of paths is bounded, as the program
// defines them all. The zero value is ready for use.
type volumes struct {
	mu     sync.Mutex // innermost; held for one addition or one copy only
	byPath map[string]Volume
}

func (v *volumes) add(path string, more Volume) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.byPath == nil {
		v.byPath = map[string]Volume{}
	}
	sum := v.byPath[path]
	sum.Calls += more.Calls
	sum.Answers += more.Answers
	sum.In += more.In
	sum.Out += more.Out
	v.byPath[path] = sum
}

// Volumes returns a copy of the counts of calls to and from members, by path.
func (l *Link) Volumes() map[string]Volume {
	l.volumes.mu.Lock()
	defer l.volumes.mu.Unlock()
	return maps.Clone(l.volumes.byPath)
}

// partitionedFrom reports whether a simulated partition separates this process from the named one
// (Options.Partitioned).
func (l *Link) partitionedFrom(name view.Name) bool {
	return l.opts.Partitioned != nil && l.opts.Partitioned(name)
}

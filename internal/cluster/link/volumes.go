package link

import (
	"maps"
	"sync"

	"flaxcove/internal/cluster/view"
)

// This file counts calls and their bodies by path, and applies a laboratory's network partition.

// Volume counts the calls of one path since the start. Bytes are those of bodies, without headers.
type Volume struct {
	Calls   uint64 `json:"calls"`   // made by this process
	Answers uint64 `json:"answers"` // given by this process
	In      uint64 `json:"in"`
	Out     uint64 `json:"out"`
}

// volumes holds a Volume for each path that is handled or called; their number is bounded by the program's own paths.
type volumes struct {
	mu     sync.Mutex // innermost; held for one addition or one copy
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

// Volumes returns the calls to and from members by path.
func (l *Link) Volumes() map[string]Volume {
	l.volumes.mu.Lock()
	defer l.volumes.mu.Unlock()
	return maps.Clone(l.volumes.byPath)
}

// partitionedFrom reports whether nothing may come from or go to a process (Options.Cut).
func (l *Link) partitionedFrom(name view.Name) bool {
	return l.opts.Partitioned != nil && l.opts.Partitioned(name)
}

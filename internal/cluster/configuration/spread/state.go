package spread

// This file is the versions of a process: received from others, and put in force by its sender.

import (
	"maps"
	"slices"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/view"
)

// State is one process's part. Its owner guards it.
type State struct {
	self     view.Life
	isLeader bool // it is the state of a leader, which neither applies versions nor counts itself

	newest      configuration.Document // the newest version here; version 0 for none
	newestSince view.Uptime
	history     []configuration.Document // earlier ones, newest first
	encoded     encodedContent

	inForce     uint64
	applying    bool
	rejected    rejection
	forked      bool // another process has other content under the number of the newest version
	needsFull   bool // a patch did not give the content that its checksum names
	lagReported bool // the lag of this process is reported, or due to be

	parent     Parent
	children   map[view.Name]*child
	childNames []view.Name // sorted
	updateNo   uint64      // of the last update
	uplink     uplink
}

// rejection is a version that could not be put in force here.
type rejection struct {
	version uint64
	text    string
	since   view.Uptime
	retryAt view.Uptime
}

// encodedContent is the newest version as it is sent: in full, and as patches by the version that they are based on. Each
// is made once.
type encodedContent struct {
	full    []byte
	patches map[uint64]*Content
}

// New returns the state of a process that has a version of an earlier incarnation on disk (the zero value for none), and
// whose sender runs inForce: that version, or 0 where it could not be used.
func New(self view.Life, stored configuration.Document, inForce uint64) *State {
	return &State{self: self, newest: stored, inForce: inForce, children: map[view.Name]*child{}}
}

// NewLeaderState returns the state of the leader, whose only child is the root of the tree. previous is the one that this
// process had when it led before, or nil: updates are numbered on from there.
func NewLeaderState(self view.Life, previous *State) *State {
	s := New(self, configuration.Document{}, 0)
	s.isLeader = true
	if previous != nil {
		s.updateNo = previous.updateNo
	}
	return s
}

// SetTree sets the parent (the zero value for none) and the children.
func (s *State) SetTree(parent Parent, children []view.Life, now view.Uptime) {
	if parent != s.parent {
		s.parent = parent
		s.uplink = uplink{reportNo: s.uplink.reportNo, changed: true}
	}
	gone := map[view.Name]bool{}
	for _, name := range s.childNames {
		gone[name] = true
	}
	for _, life := range children {
		delete(gone, life.Name)
		if c := s.children[life.Name]; c == nil || c.life.Incarnation < life.Incarnation {
			// A child reports to a new parent by itself: it is called only if it does not.
			s.children[life.Name] = &child{life: life, retryAt: now + minBackoff}
			s.markChanged()
		}
	}
	for name := range gone {
		delete(s.children, name)
		s.markChanged()
	}
	s.childNames = slices.Sorted(maps.Keys(s.children))
}

// SetIncarnation raises this process's incarnation, as another process of its name was known with this one or a higher.
func (s *State) SetIncarnation(to view.Life) {
	s.self = to
	s.uplink.reported = false
	s.markChanged()
}

// Newest is the newest version that this process has.
func (s *State) Newest() configuration.Document { return s.newest }

// InForce is the version that the sender here runs.
func (s *State) InForce() uint64 { return s.inForce }

// Rejection is the version that could not be put in force here, and why; 0 for none.
func (s *State) Rejection() (version uint64, text string) { return s.rejected.version, s.rejected.text }

func (s *State) digest() Digest { return Digest{s.newest.Version, s.newest.Sum} }

// SetDecided takes in the newest version that was committed. An older one changes nothing. Where one version has two
// contents (see takeContent) the leader distributes the committed one.
func (s *State) SetDecided(d configuration.Document, now view.Uptime) {
	otherContent := d.Version == s.newest.Version && d.Version > 0 && d.Sum != s.newest.Sum
	if d.Version > s.newest.Version || s.isLeader && otherContent {
		s.setNewest(d, now)
	}
}

// setNewest replaces the newest version.
func (s *State) setNewest(d configuration.Document, now view.Uptime) {
	if s.newest.Version > 0 {
		s.history = slices.Insert(s.history, 0, s.newest)
		s.history = s.history[:min(len(s.history), maxHistory)]
	}
	s.newest, s.newestSince, s.encoded = d, now, encodedContent{}
	s.forked, s.needsFull, s.lagReported = false, false, false
	s.markChanged()
}

// takeContent takes in content that another process sent, and what that one has. Two contents of one version can't be
// committed; they occur only where the consensus group lost its records and numbers versions from 1 again. Then neither
// is replaced: the fork is shown until the next version is committed.
func (s *State) takeContent(held Digest, c *Content, now view.Uptime) {
	if held.Version == s.newest.Version && held.Version > 0 && held.Sum != s.newest.Sum && !s.forked {
		s.forked = true
		s.markChanged()
	}
	if c == nil || c.Version <= s.newest.Version {
		return
	}
	if d, ok := s.decode(c); ok {
		s.setNewest(d, now)
		return
	}
	s.needsFull = true
	s.markChanged()
}

// decode makes a document of content; false where that does not match its checksum.
func (s *State) decode(c *Content) (d configuration.Document, ok bool) {
	settings, err := configuration.Decompress(c.Full)
	if c.Patch != nil {
		if c.Base != s.digest() {
			return d, false
		}
		settings, err = configuration.ApplyPatch(s.newest.Settings, c.Patch)
	}
	if err != nil {
		return d, false
	}
	d, err = configuration.NewDocument(c.Version, settings)
	return d, err == nil && d.Sum == c.Sum
}

// contentSince is what a process with the version base lacks: nil where it lacks nothing. It is full where that is asked
// for, or no patch is known or small enough.
func (s *State) contentSince(base Digest, full bool) *Content {
	if base.Version >= s.newest.Version {
		return nil
	}
	if !full {
		if c := s.patchFrom(base); c != nil {
			return c
		}
	}
	if s.encoded.full == nil {
		// Compression fails for want of memory only; an empty Content is not accepted, and asked for again.
		s.encoded.full, _ = configuration.Compress(s.newest.Settings)
	}
	return &Content{Digest: s.digest(), Full: s.encoded.full}
}

// patchFrom is the patch from a version in the history; nil where there is none, or the full content is better.
func (s *State) patchFrom(base Digest) *Content {
	if c, made := s.encoded.patches[base.Version]; made && (c == nil || c.Base == base) {
		return c
	}
	i := slices.IndexFunc(s.history, func(d configuration.Document) bool {
		return d.Version == base.Version && d.Sum == base.Sum
	})
	if i < 0 {
		return nil
	}
	if s.encoded.patches == nil {
		s.encoded.patches = map[uint64]*Content{}
	}
	var c *Content
	if patch, ok := configuration.CreatePatch(s.history[i].Settings, s.newest.Settings); ok && len(patch) < len(s.newest.Settings)/2 {
		c = &Content{Digest: s.digest(), Base: base, Patch: patch}
	}
	s.encoded.patches[base.Version] = c
	return c
}

// NextToApply is the version to be put in force now; false while that is in progress, or there is none.
func (s *State) NextToApply(now view.Uptime) (configuration.Document, bool) {
	if s.isLeader || s.applying || s.newest.Version <= s.inForce {
		return configuration.Document{}, false
	}
	if s.rejected.version == s.newest.Version && now < s.rejected.retryAt {
		return configuration.Document{}, false
	}
	s.applying = true
	return s.newest, true
}

// RecordApplied records whether a version that NextToApply returned is in force, or why not.
func (s *State) RecordApplied(version uint64, err error, now view.Uptime) {
	s.applying = false
	s.markChanged()
	if err == nil {
		s.inForce = max(s.inForce, version)
		s.rejected = rejection{}
		return
	}
	since := now
	if s.rejected.version == version {
		since = s.rejected.since
	}
	s.rejected = rejection{version, truncated(err.Error()), since, now + applyRetryDelay}
}

// truncated cuts a text to the bound of a reason.
func truncated(text string) string { return text[:min(len(text), maxReasonBytes)] }

// SelfSettled reports whether the newest version is in force at this process, or was rejected.
func (s *State) SelfSettled() bool {
	return s.isLeader || s.inForce >= s.newest.Version || s.rejected.version == s.newest.Version
}

// Settled reports whether this process and all below it have put the newest version in force, or rejected it.
func (s *State) Settled() bool {
	if !s.SelfSettled() {
		return false
	}
	for _, name := range s.childNames {
		if !s.children[name].settled(s.digest()) {
			return false
		}
	}
	return true
}

// NextDue is when something has to be sent or put in force, at the latest.
func (s *State) NextDue(now view.Uptime) (at view.Uptime) {
	at = now + RefreshInterval
	if !s.isLeader && !s.applying && s.newest.Version > s.inForce {
		at = now
		if s.rejected.version == s.newest.Version {
			at = s.rejected.retryAt
		}
	}
	for _, name := range s.childNames {
		if c := s.children[name]; !c.inFlight && c.needsUpdate(s.newest.Version) {
			at = min(at, c.retryAt)
		}
	}
	if u := &s.uplink; s.parent.Name != "" && !u.inFlight && u.pendingAnswers == 0 {
		at = min(at, max(u.retryAt, s.reportDueAt()))
	}
	return at
}

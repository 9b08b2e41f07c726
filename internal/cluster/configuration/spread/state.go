package spread

// This file handles the versions of a process: those received from other processes, and the one that its sender runs.

import (
	"maps"
	"slices"

	"flaxcove/internal/cluster/configuration"
	"flaxcove/internal/cluster/view"
)

// State is the state of one process. It is not safe for concurrent use; its owner guards it. New and NewLeaderState
// create it.
type State struct {
	self     view.Instance
	isLeader bool // created by NewLeaderState; it neither applies versions nor counts itself in summaries

	newest      configuration.Document // the newest version here; version 0 for none
	newestSince view.Uptime
	history     []configuration.Document // earlier versions, newest first, at most maxHistory
	encoded     encodedContent

	inForce     uint64 // the version that the sender runs
	applying    bool   // NextToApply has returned a version whose outcome is not recorded yet
	rejected    rejection
	forked      bool // another process has other content under the number of the newest version
	needsFull   bool // received content did not match its checksum
	lagReported bool // a report of this process's lag was marked as due

	parent     Parent
	children   map[view.Name]*child
	childNames []view.Name // sorted
	updateNo   uint64      // of the last update
	uplink     uplink
}

// rejection is a version that could not be put in force here. Version 0 stands for none.
type rejection struct {
	version uint64
	text    string      // the reason, truncated
	since   view.Uptime // time of the first failure
	retryAt view.Uptime // time of the next attempt
}

// encodedContent caches the encoded forms of the newest version: the full content, and the patches by the version that
// they are based on. A nil patch means that the full content is sent instead.
type encodedContent struct {
	full    []byte
	patches map[uint64]*Content
}

// New returns the state of a process. stored is the version that an earlier incarnation has stored on disk, or the zero
// value. inForce is the version that the sender runs: that of stored, or 0 if the stored version could not be used.
func New(self view.Instance, stored configuration.Document, inForce uint64) *State {
	return &State{self: self, newest: stored, inForce: inForce, children: map[view.Name]*child{}}
}

// NewLeaderState returns the state of the leader, whose only child is the root of the tree. previous is the state of
// the last time that this process led, or nil; the numbers of updates continue from there.
func NewLeaderState(self view.Instance, previous *State) *State {
	s := New(self, configuration.Document{}, 0)
	s.isLeader = true
	if previous != nil {
		s.updateNo = previous.updateNo
	}
	return s
}

// SetTree sets the parent (the zero value for none) and the children of this process.
func (s *State) SetTree(parent Parent, children []view.Instance, now view.Uptime) {
	if parent != s.parent {
		s.parent = parent
		s.uplink = uplink{reportNo: s.uplink.reportNo, changed: true}
	}
	gone := map[view.Name]bool{}
	for _, name := range s.childNames {
		gone[name] = true
	}
	for _, instance := range children {
		delete(gone, instance.Name)
		if c := s.children[instance.Name]; c == nil || c.instance.Incarnation < instance.Incarnation {
			// A child reports to a new parent on its own. It gets an update only if it has not done so after
			// minBackoff.
			s.children[instance.Name] = &child{instance: instance, retryAt: now + minBackoff}
			s.markChanged()
		}
	}
	for name := range gone {
		delete(s.children, name)
		s.markChanged()
	}
	s.childNames = slices.Sorted(maps.Keys(s.children))
}

// SetIncarnation sets a higher incarnation for this process. It is called when other processes know its name with the
// current incarnation or a higher one.
func (s *State) SetIncarnation(to view.Instance) {
	s.self = to
	s.uplink.reported = false
	s.markChanged()
}

// Newest returns the newest version that this process has, or version 0 if it has none.
func (s *State) Newest() configuration.Document { return s.newest }

// InForce returns the version that the sender of this process runs.
func (s *State) InForce() uint64 { return s.inForce }

// Rejection returns the version that could not be put in force here and the reason. The version is 0 if there is none.
func (s *State) Rejection() (version uint64, text string) { return s.rejected.version, s.rejected.text }

// digest returns the digest of the newest version.
func (s *State) digest() Digest { return Digest{s.newest.Version, s.newest.Sum} }

// SetCommitted sets the newest committed version. An older version changes nothing. If there are two contents of one
// version (see receiveContent), the leader distributes the committed one.
func (s *State) SetCommitted(d configuration.Document, now view.Uptime) {
	otherContent := d.Version == s.newest.Version && d.Version > 0 && d.Sum != s.newest.Sum
	if d.Version > s.newest.Version || s.isLeader && otherContent {
		s.setNewest(d, now)
	}
}

// setNewest replaces the newest version and keeps the old one in history.
func (s *State) setNewest(d configuration.Document, now view.Uptime) {
	if s.newest.Version > 0 {
		s.history = slices.Insert(s.history, 0, s.newest)
		s.history = s.history[:min(len(s.history), maxHistory)]
	}
	s.newest, s.newestSince, s.encoded = d, now, encodedContent{}
	s.forked, s.needsFull, s.lagReported = false, false, false
	s.markChanged()
}

// receiveContent handles the digest and the content (nil for none) that another process has sent. The consensus group
// never commits two contents of one version. They occur only if the group has lost its records and numbers versions
// from 1 again. Neither content is then replaced, and the process is reported as forked until the next version is
// committed.
func (s *State) receiveContent(held Digest, c *Content, now view.Uptime) {
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

// decode returns the document of received content. It returns false if the content can't be decoded or does not match
// its checksum.
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

// contentSince returns the content that a process with the version base lacks, or nil if it lacks nothing. The content
// is a patch unless full is set, no patch is possible, or the patch is too long.
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
		// Compress fails only without memory. The receiver does not accept the empty content and requests it again.
		s.encoded.full, _ = configuration.Compress(s.newest.Settings)
	}
	return &Content{Digest: s.digest(), Full: s.encoded.full}
}

// patchFrom returns the content as a patch of an earlier version. It returns nil if that version is not in the history,
// or if the patch would not be shorter than half of the settings.
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

// NextToApply returns the version to put in force now. It returns false if there is none, or while another is being put
// in force. The caller must then call RecordApplied.
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

// RecordApplied records that a version from NextToApply is in force, or with an error that it could not be put in
// force. It is then tried again after applyRetryDelay.
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

// truncated cuts a text to maxReasonBytes.
func truncated(text string) string { return text[:min(len(text), maxReasonBytes)] }

// SelfSettled reports whether the newest version is in force in this process or was rejected by it.
func (s *State) SelfSettled() bool {
	return s.isLeader || s.inForce >= s.newest.Version || s.rejected.version == s.newest.Version
}

// Settled reports whether this process and all processes below it have put the newest version in force or rejected it.
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

// NextDue returns the latest time at which the caller should ask again for due messages and versions to apply.
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

package sender

// This file holds attempts back until a new process has the list of discovery. Its agent may have learned of changes while
// no process ran, and they count from the first moment of the new one: by the list of the configuration a message could go
// to an address that another destination has by now.
//
// An answer by which nothing has changed counts like the list.
//
// Nothing is held back if nothing can have been missed: the process before saw that discovery was silent, as it still is,
// and it ran on by the same list. Nor if nobody serves the list at the address (directory.Refused): then there is no agent
// whose list would be newer. Otherwise messages are accepted and wait, however long discovery is silent, and end at their
// deadlines.

import (
	"encoding/json"
	"errors"
	"io/fs"
	"time"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/journal"
)

const (
	// firstListTimeout is how long a start waits for the first list of discovery before it serves clients. The agent of
	// discovery answers at once. The timeout is below the 400 ms for which clients wait for an answer.
	firstListTimeout = 150 * time.Millisecond
	// silenceFileName names the file that says when discovery was last seen to be silent.
	silenceFileName = "silence.json"
	// silenceRecordInterval is the time between two writes of the file while discovery is silent.
	silenceRecordInterval = time.Second
	// maxSilenceRecordAge is how long after the last write a new process takes discovery to have been silent ever since. It
	// covers silenceRecordInterval and a restart; a discovery that returns and falls silent again within it goes unnoticed.
	maxSilenceRecordAge = 3 * choice.Second
)

// firstList is the part of a Sender that holds attempts back until the first list. The loop owns it.
type firstList struct {
	listAwaited     bool  // attempts wait for the first list
	listVersion     int64 // of the last list applied, that of the configuration included
	discoverySilent bool  // a call has stalled, and no call has been answered since
	silenceRecorded bool  // the file holds a time
}

// silenceFile is the content of the file.
type silenceFile struct {
	At      choice.Time `json:"at"`      // wall-clock time at which discovery was silent; 0 if it has answered since
	Version int64       `json:"version"` // of the list in force then
}

// awaitFirstList handles events until a list of discovery has been applied, discovery has refused the call, or timeout
// fires. After the timeout attempts are held back until the first list. It is called before the loop runs.
func (s *Sender) awaitFirstList(timeout <-chan time.Time) {
	s.listAwaited = true
	for s.eventsPending = true; s.listAwaited; {
		select {
		case f := <-s.inbox:
			f()
		case <-s.ready.wake:
			s.serveReady()
		case <-timeout:
			s.holdUntilFirstList()
			return
		}
	}
}

// holdUntilFirstList decides, while discovery is silent, whether attempts wait for the first list.
func (s *Sender) holdUntilFirstList() {
	if s.silentSinceLastProcess() {
		s.listAwaited = false
		s.log.Info("discovery is silent as before the start: attempts begin by the list of the configuration", zap.Int64("version", s.listVersion))
		return
	}
	s.log.Warn("discovery is silent: attempts wait for its list, because that of the configuration may be out of date",
		zap.Int64("version", s.listVersion))
}

// silentSinceLastProcess reports whether the process before saw discovery silent up to its end, with the list that the
// configuration has. An unreadable file counts as none.
func (s *Sender) silentSinceLastProcess() bool {
	var file silenceFile
	text, err := journal.Get(s.cfg.StateDir, silenceFileName)
	if err == nil {
		err = json.Unmarshal(text, &file)
	}
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			s.log.Warn("the record of a silent discovery is unreadable", zap.String("file", silenceFileName), zap.Error(err))
		}
		return false
	}
	age := s.Now() - file.At
	return file.At > 0 && age >= 0 && age <= maxSilenceRecordAge && file.Version == s.cfg.InitialList.Version
}

// discoveryFellSilent handles a call for the list that got no sign of life in time.
func (s *Sender) discoveryFellSilent() {
	if s.discoverySilent {
		return
	}
	s.discoverySilent = true
	s.recordSilence()
}

// recordSilence writes the file, and again at intervals while discovery stays silent. A process that awaits the first list
// itself knows of nothing that its successor may rely on.
func (s *Sender) recordSilence() {
	if !s.discoverySilent || s.listAwaited {
		return
	}
	s.silenceRecorded = true
	s.writeSilence(silenceFile{At: s.Now(), Version: s.listVersion})
	s.after(silenceRecordInterval, s.recordSilence)
}

// discoveryAnswered handles the first sign of life of a call for the list. If nothing has changed after the version of the list
// in force, attempts may begin. Otherwise a list follows.
func (s *Sender) discoveryAnswered(unchanged bool) {
	s.discoverySilent = false
	if unchanged {
		s.listAwaited = false
	}
	if s.silenceRecorded {
		s.silenceRecorded = false
		s.writeSilence(silenceFile{})
	}
}

// writeSilence replaces the file. An error is logged: without the file the next process only waits for the list.
func (s *Sender) writeSilence(file silenceFile) {
	text, err := json.Marshal(file)
	if err == nil {
		err = s.journal.Put(silenceFileName, text)
	}
	if err != nil {
		s.log.Warn("cannot record that discovery is silent", zap.Error(err))
	}
}

// discoveryRefused lets attempts begin: nobody serves the list.
func (s *Sender) discoveryRefused() {
	if s.listAwaited {
		s.listAwaited = false
		s.log.Info("discovery refuses calls: attempts begin by the list of the configuration", zap.Int64("version", s.listVersion))
	}
}

// listApplied records the version of a list, and lets attempts begin if it is one of discovery.
func (s *Sender) listApplied(version int64, fromDiscovery bool) {
	s.listVersion = version
	if fromDiscovery {
		s.listReceived, s.listAwaited = true, false
	}
}

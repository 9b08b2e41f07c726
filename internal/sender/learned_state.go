package sender

// This file carries learned state of endpoints (choice.LearnedState) from one process to the next, in a file of the state
// folder: a graceful shutdown writes it, a start reads it. A broken file never prevents a start, and the learned state of
// one endpoint is never used for another endpoint with the same id.

import (
	"encoding/json"
	"errors"
	"io/fs"
	"maps"
	"slices"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/directory"
	"flaxcove/internal/journal"
)

const (
	learnedFileName  = "learnt.json"
	learnedFileShare = 0.02 // of the journal's size limit, on disk in addition to the journal
	// learnedFileFrame is the number of bytes reserved for the JSON around the entries.
	learnedFileFrame = 64
)

// Learned state beyond these bounds is not plausible: a timeout computed from it would overflow, and calls would be
// abandoned as soon as they begin.
const (
	maxLearnedTime  = 24 * 3600 * choice.Second // duration of a call or a pause
	maxLearnedCalls = 1e15
)

// learnedEntry is the learned state of one endpoint in the file.
type learnedEntry struct {
	recordedEndpoint
	choice.LearnedState
}

// learnedFile is the content of the file. At is the wall-clock time at which it was written; the waits in it count from At.
type learnedFile struct {
	At        choice.Time    `json:"at"`
	Endpoints []learnedEntry `json:"endpoints"`
}

// loadLearned reads the file of an earlier process. An unreadable file and implausible entries are logged and ignored.
func (s *Sender) loadLearned() {
	var file learnedFile
	text, err := journal.Get(s.cfg.StateDir, learnedFileName)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err == nil {
		err = json.Unmarshal(text, &file)
	}
	if err != nil {
		s.log.Warn("learned state: file is unreadable, all endpoints start without learned state", zap.String("file", learnedFileName), zap.Error(err))
		return
	}
	s.learned, s.learnedAt = map[choice.EndpointID]learnedEntry{}, file.At
	for _, entry := range file.Endpoints {
		if isPlausible(entry.LearnedState) {
			s.learned[entry.Endpoint] = entry
		}
	}
	s.log.Info("learned state read", zap.Int("endpoints", len(s.learned)), zap.Int("left_out", len(file.Endpoints)-len(s.learned)))
}

// isPlausible reports whether learned state of another process is within the bounds.
func isPlausible(l choice.LearnedState) bool {
	within := func(v, lowest, highest float64) bool { return v >= lowest && v <= highest }
	const maxTime = float64(maxLearnedTime)
	return l.Mean > 0 && within(l.Mean, 0, maxTime) &&
		within(l.Dev, 0, maxTime) &&
		l.Past > 0 && within(l.Past, 0, maxTime) &&
		within(l.Seen, 0, maxLearnedCalls) &&
		within(l.Limit, 0, maxReportedLimit) &&
		l.Wait >= 0 && l.Wait <= maxLearnedTime
}

// hasLearned reports whether l holds anything that was learned.
func hasLearned(l choice.LearnedState) bool { return l.Seen > 0 || l.Wait > 0 || l.Limit > 0 }

// takeLearned removes and returns the learned state of an earlier process for an endpoint; nil if there is none for this
// address and destination. It is used for the endpoint's first entry only, as it is out of date later. Its wait is reduced
// by the time since it was written.
func (s *Sender) takeLearned(e choice.Entry, listed directory.Entry) *choice.LearnedState {
	entry, known := s.learned[e.Endpoint]
	delete(s.learned, e.Endpoint)
	if !known || !entry.isListedAs(e, listed) || entry.startedAgain(listed, s.learnedAt) {
		return nil
	}
	entry.Wait = max(0, entry.Wait-max(0, s.Now()-s.learnedAt))
	return &entry.LearnedState
}

// deleteLearned deletes the matching destinations from the file, or a start after a kill would load them again. It returns
// the endpoints it deleted. A file that is not JSON stays as it is, since loadLearned ignores it.
func (s *Sender) deleteLearned(matches func(choice.DestinationID) bool) (deleted []choice.EndpointID, err error) {
	var file learnedFile
	text, err := journal.Get(s.cfg.StateDir, learnedFileName)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if json.Unmarshal(text, &file) != nil {
		return nil, nil
	}
	remaining := learnedFile{At: file.At}
	for _, entry := range file.Endpoints {
		if matches(entry.Destination) {
			deleted = append(deleted, entry.Endpoint)
		} else {
			remaining.Endpoints = append(remaining.Endpoints, entry)
		}
	}
	if len(deleted) == 0 {
		return nil, nil
	}
	return deleted, s.writeLearned(remaining)
}

// writeLearned replaces the file.
func (s *Sender) writeLearned(file learnedFile) error {
	text, err := json.Marshal(file)
	if err != nil {
		return err
	}
	return s.journal.Put(learnedFileName, text)
}

// saveLearned writes the learned state for the next process, of as many endpoints as fit into the file. It logs an error.
func (s *Sender) saveLearned() {
	file := learnedFile{At: s.Now()}
	capacity := int(learnedFileShare*float64(s.journal.Limit())) - learnedFileFrame
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		e, l := s.endpoints[id], s.choice.LearnedState(id)
		if e.gone || l.Seen == 0 && l.Wait == 0 {
			continue
		}
		entry := learnedEntry{recordOf(e), l}
		text, err := json.Marshal(entry)
		capacity -= len(text) + 1
		if err != nil || capacity < 0 {
			break
		}
		file.Endpoints = append(file.Endpoints, entry)
	}
	if err := s.writeLearned(file); err != nil {
		s.log.Error("learned state: writing the file failed", zap.Error(err))
	}
}

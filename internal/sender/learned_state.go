package sender

// This file carries what was learned of endpoints from one process to the next, in a file of the state folder: a graceful
// shutdown writes it, a start reads it. What it holds is decided by package choice (choice.LearnedState). It never keeps a start
// from happening, and what was learned of one machine is never used for another one with the same id.

import (
	"encoding/json"
	"errors"
	"io/fs"
	"maps"
	"slices"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/journal"
)

const (
	learnedFileName  = "learnt.json"
	learnedFileShare = 0.02 // of the disk, beside what the journal may fill
	// learnedFileFrame is what stands around the entries.
	learnedFileFrame = 64
)

// What is learned is believed up to these bounds. Beyond them a time-out computed of it would overflow, and calls would be
// abandoned as they begin.
const (
	maxLearnedTime  = 24 * 3600 * choice.Second // of a call, and of a Retry-After
	maxLearnedCalls = 1e15
)

// learnedEntry is what the file holds of one endpoint. It applies to an endpoint of the same id, destination and address.
type learnedEntry struct {
	Endpoint    choice.EndpointID    `json:"endpoint"`
	Destination choice.DestinationID `json:"destination"`
	Addr        string               `json:"addr"`
	choice.LearnedState
}

// learnedFile is the whole file. Waits count from At, by the wall clock.
type learnedFile struct {
	At        choice.Time    `json:"at"`
	Endpoints []learnedEntry `json:"endpoints"`
}

// loadLearned reads what an earlier process wrote. A file that cannot be read, and entries that are not plausible, are
// logged and left out.
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
		s.log.Warn("learned state: not read, every endpoint starts afresh", zap.String("file", learnedFileName), zap.Error(err))
		return
	}
	s.learned, s.learnedAt = map[choice.EndpointID]learnedEntry{}, file.At
	for _, entry := range file.Endpoints {
		if isPlausible(entry.LearnedState) {
			s.learned[entry.Endpoint] = entry
		}
	}
	s.log.Info("learned state", zap.Int("endpoints", len(s.learned)), zap.Int("left_out", len(file.Endpoints)-len(s.learned)))
}

// isPlausible reports whether learned state from elsewhere can be believed.
func isPlausible(l choice.LearnedState) bool {
	within := func(v, least, most float64) bool { return v >= least && v <= most }
	const most = float64(maxLearnedTime)
	return l.Mean > 0 && within(l.Mean, 0, most) &&
		within(l.Dev, 0, most) &&
		l.Past > 0 && within(l.Past, 0, most) &&
		within(l.Seen, 0, maxLearnedCalls) &&
		within(l.Limit, 0, maxReportedLimit) &&
		l.Wait >= 0 && l.Wait <= maxLearnedTime
}

// isKnown reports whether anything has been learned of an endpoint.
func isKnown(l choice.LearnedState) bool { return l.Seen > 0 || l.Wait > 0 || l.Limit > 0 }

// takeLearned gives what was learned of an endpoint to its first entry in the list, and once: later it is out of date. A
// wait is shorter by the time since.
func (s *Sender) takeLearned(e choice.Entry, addr string) *choice.LearnedState {
	entry, known := s.learned[e.Endpoint]
	delete(s.learned, e.Endpoint)
	if !known || entry.Addr != addr || entry.Destination != e.Destination {
		return nil
	}
	entry.Wait = max(0, entry.Wait-max(0, s.Now()-s.learnedAt))
	return &entry.LearnedState
}

// deleteLearned takes destinations out of the file, from where they would come back with a start after a kill, and returns
// the endpoints that were in it. A file that is no JSON is left as it is, as no start reads it.
func (s *Sender) deleteLearned(of func(choice.DestinationID) bool) (deleted []choice.EndpointID, err error) {
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
		if of(entry.Destination) {
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

func (s *Sender) writeLearned(file learnedFile) error {
	text, err := json.Marshal(file)
	if err != nil {
		return err
	}
	return s.journal.Put(learnedFileName, text)
}

// saveLearned writes what the next process may use, of as many endpoints as fit.
func (s *Sender) saveLearned() {
	file := learnedFile{At: s.Now()}
	capacity := int(learnedFileShare*float64(s.journal.Limit())) - learnedFileFrame
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		e, l := s.endpoints[id], s.choice.LearnedState(id)
		if e.gone || l.Seen == 0 && l.Wait == 0 {
			continue
		}
		entry := learnedEntry{id, e.destination, e.addr, l}
		text, err := json.Marshal(entry)
		capacity -= len(text) + 1
		if err != nil || capacity < 0 {
			break
		}
		file.Endpoints = append(file.Endpoints, entry)
	}
	if err := s.writeLearned(file); err != nil {
		s.log.Error("learned state: not written", zap.Error(err))
	}
}

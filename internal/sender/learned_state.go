package sender

// This file carries what was learnt of endpoints from one life of a sender to the next, through the folder that
// lasts: a planned end writes it, a start reads it. What it holds is the module's to say (choice.Learnt). It must
// never keep a start from happening, nor pass on what was learnt of another machine under the same id.

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
)

// learnedEntry is what stands in the file for one endpoint: it still means the same where all three of the first are.
type learnedEntry struct {
	Endpoint    choice.EndpointID    `json:"endpoint"`
	Destination choice.DestinationID `json:"destination"`
	Addr        string               `json:"addr"`
	choice.Learnt
}

// learnedFile is the whole file. Waits count from At, by the wall clock.
type learnedFile struct {
	At        choice.Time    `json:"at"`
	Endpoints []learnedEntry `json:"endpoints"`
}

// loadLearned reads what an earlier life wrote. What cannot be read, or makes no sense, starts afresh and is logged.
func (s *Sender) loadLearned() {
	var l learnedFile
	text, err := journal.Get(s.cfg.State, learnedFileName)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err == nil {
		err = json.Unmarshal(text, &l)
	}
	if err != nil {
		s.log.Warn("learnt: not read, every endpoint starts afresh", zap.String("file", learnedFileName), zap.Error(err))
		return
	}
	s.learned, s.learnedAt = map[choice.EndpointID]learnedEntry{}, l.At
	for _, k := range l.Endpoints {
		if isPlausible(k.Learnt) {
			s.learned[k.Endpoint] = k
		}
	}
	s.log.Info("learnt", zap.Int("endpoints", len(s.learned)), zap.Int("left_out", len(l.Endpoints)-len(s.learned)))
}

// What is learnt stays below these; more would pass the highest number where a time-out is made of it, and calls
// would be given up as they begin.
const (
	maxLearnedTime  = 24 * 3600 * choice.Second // of a call, and of a wait, which a restart ends at any rate
	maxLearnedCalls = 1e15
)

// isPlausible tells whether what comes from elsewhere can be believed.
func isPlausible(k choice.Learnt) bool {
	is := func(least, v, most float64) bool { return v >= least && v <= most }
	const most = float64(maxLearnedTime)
	return k.Mean > 0 && is(0, k.Mean, most) && is(0, k.Dev, most) && k.Past > 0 && is(0, k.Past, most) && is(0, k.Seen, maxLearnedCalls) &&
		is(0, k.Limit, maxReportedLimit) && k.Wait >= 0 && k.Wait <= maxLearnedTime
}

// deleteLearned takes what an earlier life learnt out of the file, where it would come back with a start after a kill, and
// tells of how many endpoints that was. It leaves the file as it is where it can't be read: then it teaches nobody.
func (s *Sender) deleteLearned(of func(choice.DestinationID) bool) (ends []choice.EndpointID, err error) {
	text, err := journal.Get(s.cfg.State, learnedFileName)
	var l learnedFile
	if err != nil || json.Unmarshal(text, &l) != nil {
		if errors.Is(err, fs.ErrNotExist) {
			err = nil
		}
		return nil, err
	}
	remaining := l
	remaining.Endpoints = nil
	for _, k := range l.Endpoints {
		if of(k.Destination) {
			ends = append(ends, k.Endpoint)
		} else {
			remaining.Endpoints = append(remaining.Endpoints, k)
		}
	}
	if len(ends) == 0 {
		return nil, nil
	}
	if text, err = json.Marshal(remaining); err == nil {
		err = s.journal.Put(learnedFileName, text)
	}
	return ends, err
}

// takeLearned gives what was learnt of an endpoint to its first entry, and once: later it is out of date. The wait has
// run on meanwhile.
func (s *Sender) takeLearned(e choice.Entry, addr string) *choice.Learnt {
	k, is := s.learned[e.Endpoint]
	delete(s.learned, e.Endpoint)
	if !is || k.Addr != addr || k.Destination != e.Destination {
		return nil
	}
	k.Wait = max(0, k.Wait-max(0, s.Now()-s.learnedAt))
	return &k.Learnt
}

// saveLearned writes what the next life may keep, of as many endpoints as there is room for.
func (s *Sender) saveLearned() {
	l := learnedFile{At: s.Now()}
	capacity := int(learnedFileShare*float64(s.journal.Limit())) - 64 // for what stands around them
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		e, k := s.endpoints[id], s.module.Learnt(id)
		if e.gone || k.Seen == 0 && k.Wait == 0 {
			continue
		}
		entry := learnedEntry{id, e.destination, e.addr, k}
		text, err := json.Marshal(entry)
		if capacity -= len(text) + 1; err != nil || capacity < 0 {
			break
		}
		l.Endpoints = append(l.Endpoints, entry)
	}
	text, err := json.Marshal(l)
	if err == nil {
		err = s.journal.Put(learnedFileName, text)
	}
	if err != nil {
		s.log.Error("learnt: not written", zap.Error(err))
	}
}

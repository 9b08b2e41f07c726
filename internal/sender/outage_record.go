package sender

// This file keeps a record of the endpoints that are out or in slow start in a file of the state folder, so that the next
// process knows of an outage even if this one is killed. The file is written when an endpoint's health changes, and never for a
// single call. A broken file never prevents a start, and an error in writing it never delays a turn.

import (
	"encoding/json"
	"errors"
	"io/fs"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/internal/directory"
	"flaxcove/internal/journal"
)

const (
	outageFileName  = "outages.json"
	outageFileShare = 0.01 // of the journal's size limit, on disk in addition to the journal
	// outageFileFrame is the number of bytes reserved for the JSON around the entries.
	outageFileFrame = 256
	// minOutageInterval is the shortest time between two writes of the file, and outageIntervalPerEntry what each of its
	// entries adds to it.
	minOutageInterval      = 100 * time.Millisecond
	outageIntervalPerEntry = time.Millisecond
	// maxOutageAge is how long after the last write an endpoint still counts as out.
	maxOutageAge = 10 * 60 * choice.Second
)

// outageEntry is the recorded state of one endpoint.
type outageEntry struct {
	recordedEndpoint
	choice.Impairment
}

// outageFile is the content of the file.
type outageFile struct {
	Written   timestamp     `json:"written"`
	Endpoints []outageEntry `json:"endpoints"`
}

// outageRecord is the part of a Sender that keeps the record. The loop owns it.
type outageRecord struct {
	earlier        map[choice.EndpointID]outageEntry // of an earlier process; an entry is removed when a list names its endpoint
	earlierAge     choice.Time                       // age of the earlier record when this process read it
	earlierReadAt  time.Duration                     // when this process read it, since the start
	earlierWritten choice.Time                       // when it was written, by the wall clock
	uptime         func() (timestamp, error)
	changed        bool // an endpoint's health has changed since the last write
	paused         bool // the last write was a short time ago
	failing        bool // the last write failed
}

// loadOutages reads the record of an earlier process. An unreadable file and implausible entries are logged and ignored.
func (s *Sender) loadOutages() {
	s.outages.uptime = systemTimestamp
	var file outageFile
	text, err := journal.Get(s.cfg.StateDir, outageFileName)
	if errors.Is(err, fs.ErrNotExist) {
		return
	}
	if err == nil {
		err = json.Unmarshal(text, &file)
	}
	if err != nil {
		s.log.Warn("record of outages is unreadable: no endpoint is taken to be out", zap.String("file", outageFileName), zap.Error(err))
		return
	}
	s.outages.earlierAge, s.outages.earlierReadAt = s.ageOf(file.Written), s.sinceStart()
	s.outages.earlierWritten = file.Written.Wall
	s.outages.earlier = map[choice.EndpointID]outageEntry{}
	for _, entry := range file.Endpoints {
		if s.outages.earlierAge <= maxOutageAge && isPlausibleOutage(entry.Impairment) {
			s.outages.earlier[entry.Endpoint] = entry
		}
	}
	s.log.Info("record of outages read", zap.Int("endpoints", len(s.outages.earlier)), zap.Int("left_out", len(file.Endpoints)-len(s.outages.earlier)),
		zap.Float64("age_ms", float64(s.outages.earlierAge)/float64(choice.Millisecond)))
}

// isPlausibleOutage reports whether the recorded state of an endpoint is within the bounds of package choice.
func isPlausibleOutage(state choice.Impairment) bool {
	return state.SlowStart >= -maxLearnedTime && state.SlowStart <= maxLearnedTime && state.Wait >= 0 && state.Wait <= maxLearnedTime
}

// takeOutage removes and returns what an earlier process recorded of an endpoint; nil if that is nothing. It is used for the
// endpoint's first entry only, as it is out of date later.
func (s *Sender) takeOutage(e choice.Entry, listed directory.Entry) *choice.Impairment {
	entry, known := s.outages.earlier[e.Endpoint]
	delete(s.outages.earlier, e.Endpoint)
	if !known || !entry.isListedAs(e, listed) || entry.startedAgain(listed, s.outages.earlierWritten) {
		return nil
	}
	age := s.outages.earlierAge + config.RoundDown(int64(s.sinceStart()-s.outages.earlierReadAt))
	state := entry.Impairment.After(age)
	s.counts.outagesRestored++
	s.log.Info("outage restored", zap.String("endpoint", string(e.Endpoint)), zap.Bool("out", state.Ejected),
		zap.Float64("slow_start_ms", float64(state.SlowStart)/float64(choice.Millisecond)), zap.Float64("wait_ms", float64(state.Wait)/float64(choice.Millisecond)))
	return &state
}

// recordOutages writes the record if an endpoint's health has changed, unless the last write was a short time ago. It logs the
// first error of a series.
func (s *Sender) recordOutages() {
	if !s.outages.changed || s.outages.paused {
		return
	}
	entries, err := s.writeOutages()
	if err != nil && !s.outages.failing {
		s.log.Warn("cannot record outages", zap.Error(err))
	}
	s.outages.failing = err != nil
	s.outages.changed = err != nil
	s.outages.paused = true
	s.after(minOutageInterval+time.Duration(entries)*outageIntervalPerEntry, func() { s.outages.paused = false })
}

// writeOutages replaces the file, and returns the number of its entries. If they don't fit, those of the last ids are left out.
func (s *Sender) writeOutages() (entries int, err error) {
	var file outageFile
	if file.Written, err = s.timestamp(); err != nil {
		return 0, err
	}
	capacity := int(outageFileShare*float64(s.journal.Limit())) - outageFileFrame
	states := maps.Collect(s.choice.Impairments())
	for _, id := range slices.Sorted(maps.Keys(states)) {
		e := s.endpoints[id]
		if e == nil || e.gone {
			continue
		}
		entry := outageEntry{recordOf(e), states[id]}
		text, err := json.Marshal(entry)
		capacity -= len(text) + 1
		if err != nil || capacity < 0 {
			break
		}
		file.Endpoints = append(file.Endpoints, entry)
	}
	text, err := json.Marshal(file)
	if err != nil {
		return 0, err
	}
	return len(file.Endpoints), s.journal.Put(outageFileName, text)
}

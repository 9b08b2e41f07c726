package sender

// This file admits: it owns the commands clients may send, the table of what is owed, and the journal's records.
// It must never answer +OK before the record is written, never write two records for one id, never take on again
// what has ended, and never refuse what it has once taken on: from then on only book.go may end it.

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"slices"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"flaxcove/choice"
	"flaxcove/internal/config"
	"flaxcove/internal/journal"
	"flaxcove/internal/resp"
)

const (
	maxID   = 128
	maxHold = 24 * 60 * 60 * 1000 // milliseconds that a notice may ask for
	// The file is rewritten before it fills fillShare of the disk, into one that holds what is owed, which may
	// take liveShare; while both exist both count. The gap between the two keeps rewritings rare.
	fillShare  = 0.58
	liveShare  = 0.38
	endRecords = 3 * (maxID + 64) // bytes of the later records of one notice, at most
	// An id handed in once more after its notice has ended must not make a single-use one run again. So many are
	// remembered; at three times the usual rate that is longer than a notice may be held.
	mostEnded = 8192
	mostOver  = 1024 // ended ones left among those in order, but for as many as are owed
)

// notice is one that was handed in and has not ended. It leaves Sender.owed when nothing more is owed for it.
type notice struct {
	choice.Notice
	key      string // the client's own, passed on in bulk calls
	workload string
	body     []byte
	reply    *reply // nil once the client has its answer
	lasting  bool   // its record is written, or waits in the batch
	tries    int    // dispatches of this process
	out      *call
	sure     bool   // a dispatch that may have run is on record
	ranIn    string // the zone's name, where a dispatch may have run: numbers are the settings', and may change
	ending   ending
	size     int64
}

type admission struct {
	journal  *journal.Journal
	owed     map[choice.NoticeID]*notice
	order    []*notice // those owed in the order taken on, with ended ones among them until a rewriting
	admitted []*notice // of this turn
	live     int64     // bytes that a rewriting would keep, at most
	unnamed  []*notice // whose record tells a zone by number alone, until the start has written their names

	ended    map[choice.NoticeID]struct{} // taken on and over; the oldest leaves for the newest
	endedIDs []choice.NoticeID            // in a ring
	endedAt  int
}

func (a *admission) remember(id choice.NoticeID) {
	if _, known := a.ended[id]; known {
		return
	}
	if len(a.endedIDs) < mostEnded {
		a.endedIDs = append(a.endedIDs, id)
	} else {
		delete(a.ended, a.endedIDs[a.endedAt])
		a.endedIDs[a.endedAt] = id
		a.endedAt = (a.endedAt + 1) % mostEnded
	}
	a.ended[id] = struct{}{}
}

// told is a notice as the module takes it.
func (n *notice) told() choice.Notice { return n.Notice }

func (s *Sender) command(c *client, args [][]byte) {
	r := s.expect(c)
	name := ""
	if len(args) > 0 {
		name = string(args[0])
	}
	switch {
	case strings.EqualFold(name, "OUT.ADD"):
		s.add(r, args)
	case strings.EqualFold(name, "PING") && len(args) == 2:
		s.answer(r, resp.AppendBulk(nil, args[1]))
	case strings.EqualFold(name, "PING"):
		s.answer(r, resp.AppendSimple(nil, "PONG"))
	case strings.EqualFold(name, "INFO"):
		var text []byte
		for _, line := range s.Counters() {
			text = append(append(text, line...), "\r\n"...)
		}
		s.answer(r, resp.AppendBulk(nil, text))
	default:
		s.badCommand(r, "unknown command")
	}
}

func (s *Sender) add(r *reply, args [][]byte) {
	s.counts.handedIn++
	n, err := s.read(args)
	if err != nil {
		s.badCommand(r, err.Error())
		return
	}
	if old := s.owed[n.ID]; old != nil {
		// A client that saw its connection end sends the same once more: it is taken on already.
		if old.reply == nil {
			s.answer(r, resp.AppendSimple(nil, "OK"))
		} else {
			s.answer(r, resp.AppendError(nil, "ERR handed in twice at once"))
		}
		return
	}
	if _, over := s.admission.ended[n.ID]; over {
		s.answer(r, resp.AppendSimple(nil, "OK"))
		return
	}
	if _, known := s.cells[n.Destination]; !known && s.listTold {
		s.badCommand(r, "dest: no such destination")
		return
	} else if !known {
		// The list from before the start may be out of date.
		s.refuse(r, s.longestReturn())
		return
	}
	if len(s.owed) >= s.cfg.Settings.MaxOpen || !s.room(n) || s.failing || s.late() {
		s.refuse(r, s.longestReturn())
		return
	}
	n.reply = r
	s.log.Debug("taken", zap.String("id", string(n.ID)), zap.String("workload", n.workload),
		zap.Int64("dest", int64(n.Destination)), zap.Int64("hard_stop_ms", int64((n.HardStop-s.Now())/choice.Millisecond)))
	s.owed[n.ID] = n
	s.admitted = append(s.admitted, n)
	s.module.Taken(n.told())
}

// late tells whether a planned end is too near to begin anything.
func (s *Sender) late() bool { return s.draining && s.sinceDrain() >= sendFor }

// longestReturn, in milliseconds, is what a client is told where no more can be taken on whatever it is.
func (s *Sender) longestReturn() int64 {
	return int64(s.cfg.Settings.LongestReturn / choice.Millisecond)
}

// refuse tells a client that it may come again, and when, if that is known.
func (s *Sender) refuse(r *reply, ms int64) {
	s.counts.refused++
	text := "BUSY"
	if ms > 0 {
		text += " " + strconv.FormatInt(ms, 10)
	}
	s.answer(r, resp.AppendError(nil, text))
}

func (s *Sender) read(args [][]byte) (*notice, error) {
	if len(args) != 5 {
		return nil, fmt.Errorf("OUT.ADD takes a key, an id, a list and a body, not %d arguments", len(args)-1)
	}
	n := &notice{key: string(args[1]), body: args[4]}
	n.ID, n.Key = choice.NoticeID(args[2]), orderKey(n.key)
	if !token(args[1]) || !token(args[2]) {
		return nil, errors.New("key and id: up to 128 visible characters each")
	}
	hold, dest := -1.0, -1.0
	for pair := range strings.SplitSeq(string(args[3]), ",") {
		switch name, value, _ := strings.Cut(pair, "="); name {
		case "c":
			n.workload = value
		case "d":
			hold = number(value)
		case "dest":
			dest = number(value)
		}
	}
	w, known := s.cfg.Workloads[n.workload]
	switch {
	case !known:
		return nil, fmt.Errorf("c: no class %q", n.workload)
	case hold <= 0 || hold > maxHold:
		return nil, errors.New("d: milliseconds, above 0 and within a day")
	case dest < 0 || dest > 1<<53 || dest != float64(int64(dest)):
		return nil, errors.New("dest: a whole number")
	}
	n.Workload, n.Destination = w, choice.DestinationID(dest)
	n.HardStop = s.Now() + choice.Time(hold*float64(choice.Millisecond))
	n.size = journal.Framed(len(n.record()))
	return n, nil
}

func number(text string) float64 {
	// Digits, and decimals at most: names like Infinity, exponents and hexadecimal ones are nobody's meaning.
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" {
		return -1
	}
	return v
}

// token tells whether an id can stand in a head: nothing in it may end a line or a field.
func token(id []byte) bool {
	for _, c := range id {
		if c <= ' ' || c >= 0x7f || c == '"' || c == '\\' {
			return false
		}
	}
	return len(id) > 0 && len(id) <= maxID
}

// room tells whether the journal can hold one more notice together with its later records.
func (s *Sender) room(n *notice) bool {
	return s.live+n.size+endRecords <= int64(liveShare*float64(s.journal.Limit()))
}

// commit writes what the turn must not forget. It tells whether anything may leave.
func (s *Sender) commit() bool {
	for _, n := range s.admitted {
		if n.reply != nil && !n.lasting {
			n.lasting = true
			s.journal.Add(n.record())
			s.keep(n)
		}
	}
	for _, c := range s.starting {
		for _, n := range c.notices {
			if s.limitsRepeat(n) && !n.sure {
				n.sure = true
				s.journal.Add(outRecord(n.ID, c.began, c.e.zone, c.e.zoneName))
			}
		}
	}
	if len(s.order) > 2*len(s.owed)+mostOver {
		// On a large disk a rewriting may be long in coming.
		s.order = deleteEnded(s.order)
	}
	var err error
	if s.journal.Size() > int64(fillShare*float64(s.journal.Limit())) {
		s.order = deleteEnded(s.order)
		s.counts.rewritings++
		err = s.journal.Rewrite(func(add func([]byte)) {
			for _, n := range s.order {
				n.records(add)
			}
		})
	} else {
		err = s.journal.Flush()
	}
	if err != nil {
		s.log.Error("journal", zap.Error(err))
	}
	return err == nil
}

func (s *Sender) keep(n *notice) {
	s.order = append(s.order, n)
	s.live += n.size + endRecords
}

func deleteEnded(order []*notice) []*notice {
	kept := order[:0]
	for _, n := range order {
		if n.ending.what != endOver {
			kept = append(kept, n)
		}
	}
	clear(order[len(kept):])
	return kept
}

// limitsRepeat tells whether a dispatch forbids or limits another one, or holds up the next of its key.
func (s *Sender) limitsRepeat(n *notice) bool {
	w := &s.cfg.Settings.Workloads[n.Workload]
	return w.Repeat != choice.Replayable || w.ByArrival && n.Key != choice.NoKey
}

// orderKey is a client's key as the module takes it: zeros stand for none, and other text than a hexadecimal number
// for one of its own.
func orderKey(text string) choice.OrderKey {
	k, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		k = uint64(crc32.ChecksumIEEE([]byte(text))) + 1
	}
	if k == 0 {
		return choice.NoKey
	}
	return choice.OrderKey(k &^ (1 << 63))
}

// answerAdmitted tells the clients whose notices are lasting now.
func (s *Sender) answerAdmitted() {
	for _, n := range s.admitted {
		if n.reply != nil {
			s.counts.takenOn++
			r := n.reply
			n.reply = nil
			s.answer(r, resp.AppendSimple(nil, "OK"))
		}
	}
	clear(s.admitted)
	s.admitted = s.admitted[:0]
}

// Kinds of record. All hold the id; what else they hold stands beside them.
const (
	recTaken  = 'T' // all that was handed in, and the hard stop by the wall clock
	recOut    = 'O' // a dispatch that may run: when, and to which zone, by number (all that older records have) and name
	recBack   = 'B' // it is proven that none has run
	recEnding = 'E' // what the platform is still to be told
	recOver   = 'X' // nothing more is owed
)

func appendText(out []byte, text string) []byte {
	return append(binary.AppendUvarint(out, uint64(len(text))), text...)
}

func (n *notice) record() []byte {
	out := appendText([]byte{recTaken}, string(n.ID))
	out = appendText(appendText(out, n.key), n.workload)
	out = binary.AppendVarint(binary.AppendVarint(out, int64(n.HardStop)), int64(n.Destination))
	return appendText(out, string(n.body))
}

func outRecord(id choice.NoticeID, at choice.Time, zone choice.ZoneNo, name string) []byte {
	return appendText(binary.AppendVarint(binary.AppendVarint(plainRecord(recOut, id), int64(at)), int64(zone)), name)
}

func plainRecord(kind byte, id choice.NoticeID) []byte { return appendText([]byte{kind}, string(id)) }

func endingRecord(n *notice) []byte {
	return binary.AppendVarint(append(plainRecord(recEnding, n.ID), byte(n.ending.what)), n.ending.retryMS)
}

// records are all that a rewriting keeps of a notice.
func (n *notice) records(add func([]byte)) {
	add(n.record())
	if n.sure && n.MayRun {
		add(outRecord(n.ID, n.RanAt, n.RanIn, n.ranIn))
	} else if n.sure && n.out != nil {
		add(outRecord(n.ID, n.out.began, n.out.e.zone, n.out.e.zoneName))
	}
	if n.ending.what != endNone {
		add(endingRecord(n))
	}
}

// openJournal rebuilds what an earlier process owed, in the order it was taken on.
func (s *Sender) openJournal() (unfinished []*notice, err error) {
	s.owed, s.admission.ended = map[choice.NoticeID]*notice{}, map[choice.NoticeID]struct{}{}
	strange := map[string]int{}
	limit := int64(s.cfg.Limits.DiskMB * 1e6)
	j, dropped, err := journal.Open(s.cfg.State, limit, s.replay)
	if err != nil {
		return nil, err
	}
	s.journal = j
	s.order = deleteEnded(s.order)
	for _, n := range s.order {
		s.live += n.size + endRecords
		if n.ending.what != endNone {
			s.endings = append(s.endings, n)
		} else if _, known := s.cfg.Workloads[n.workload]; !known {
			strange[n.workload]++
		} else {
			unfinished = append(unfinished, n)
		}
	}
	for _, workload := range slices.Sorted(maps.Keys(strange)) {
		// To go on would lose them: nothing is known of what may be repeated, or of how long.
		return nil, errors.Join(fmt.Errorf("field state: %s owes %d notices of workload %q, which field settings.classes does not name; "+
			"end them under the settings that they came with", s.cfg.State, strange[workload], workload), j.Close())
	}
	for _, n := range s.unnamed {
		if n.MayRun && s.owed[n.ID] == n {
			j.Add(outRecord(n.ID, n.RanAt, n.RanIn, n.ranIn))
		}
	}
	s.unnamed = nil
	if err := j.Flush(); err != nil {
		return nil, errors.Join(err, j.Close())
	}
	s.counts.replayed = int64(len(s.order))
	s.log.Info("journal open", zap.Int("owed", len(s.order)), zap.Int64("bytes", j.Size()), zap.Int64("dropped", dropped))
	return unfinished, nil
}

// replay takes one record. One that cannot be read, or speaks of an unknown id, is passed over.
func (s *Sender) replay(record []byte) {
	p := fields{rest: record[1:]}
	id := choice.NoticeID(p.text())
	n := s.owed[id]
	if record[0] == recTaken && n == nil {
		n = &notice{lasting: true, size: journal.Framed(len(record))}
		n.ID, n.key, n.workload = id, p.text(), p.text()
		n.HardStop, n.Destination = choice.Time(p.number()), choice.DestinationID(p.number())
		n.body = []byte(p.text())
		n.Workload = s.cfg.Workloads[n.workload] // an unknown one has the start refused, unless it is over
		if p.broken {
			s.log.Warn("journal: a notice cannot be read", zap.String("id", string(id)), zap.String("workload", n.workload))
			return
		}
		n.Key = orderKey(n.key)
		s.owed[id] = n
		s.order = append(s.order, n)
	}
	if n == nil || p.broken {
		return
	}
	switch record[0] {
	case recOut:
		n.sure, n.MayRun = true, true
		n.RanAt, n.RanIn = choice.Time(p.number()), choice.ZoneNo(p.number())
		if len(p.rest) > 0 {
			n.ranIn = p.text()
			n.RanIn = s.names.Zone(n.ranIn)
		} else {
			// Of before names were written, and so of these settings.
			for name, no := range s.cfg.Zones {
				if no == n.RanIn {
					n.ranIn = name
				}
			}
			s.unnamed = append(s.unnamed, n)
		}
	case recBack:
		n.sure, n.MayRun = false, false
	case recEnding:
		if len(p.rest) > 0 {
			what := p.rest[0]
			p.rest = p.rest[1:]
			n.ending = ending{what: endKind(what), retryMS: p.number()}
		}
	case recOver:
		n.ending.what = endOver
		delete(s.owed, id)
		s.remember(id)
	}
}

// fields reads a record's parts in order.
type fields struct {
	rest   []byte
	broken bool
}

func (f *fields) text() string {
	n, used := binary.Uvarint(f.rest)
	if used <= 0 || n > uint64(len(f.rest)-used) {
		f.broken = true
		return ""
	}
	text := string(f.rest[used : used+int(n)])
	f.rest = f.rest[used+int(n):]
	return text
}

func (f *fields) number() int64 {
	v, used := binary.Varint(f.rest)
	if used <= 0 {
		f.broken = true
		return 0
	}
	f.rest = f.rest[used:]
	return v
}

// Now is the wall clock at the start and the monotonic one from there.
func (s *Sender) Now() choice.Time {
	return config.Down(s.start.UnixNano() + int64(s.sinceStart()))
}

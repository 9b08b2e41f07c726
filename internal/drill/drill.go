// Package drill runs senders of package choice behind the line protocol of the simulator. It turns each event line into
// a call of a choice.Sender, and each call of choice.Host into an action line.
//
// Events come in batches that begin with a frame line and end with a go line. The answer to a batch consists of the
// action lines of the senders that had events in it, and a line "done". drill.go reads batches, events.go handles the
// events of senders, host.go writes their actions, and fields.go reads the fields of a line.
package drill

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"flaxcove/choice"
	"flaxcove/internal/fielderror"
)

const (
	catalogCount   = 16 // number of endpoint lists that can be stored
	readBufferSize = 1 << 20
	sendBufferSize = 1 << 16
)

// LineError is an error in one line of the input.
type LineError struct {
	Line int // line number, starting at 1
	Err  error
}

func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the error without the line number.
func (e *LineError) Unwrap() error { return e.Err }

var errInputEndsInBatch = errors.New("input ends inside a batch")

// Run serves batches until the input ends. An error in the input is a *LineError.
func Run(in io.Reader, out io.Writer) error {
	s := &server{
		in:      bufio.NewReaderSize(in, readBufferSize),
		out:     bufio.NewWriterSize(out, sendBufferSize),
		senders: map[choice.SenderID]*hostedSender{},
	}
	for {
		text, err := s.in.ReadString('\n')
		if text == "" && errors.Is(err, io.EOF) {
			if s.inBatch {
				return &LineError{s.line + 1, errInputEndsInBatch}
			}
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		s.line++
		if n := len(text); text[n-1] == '\n' {
			text = text[:n-1]
		}
		if err := s.handleLine(text); err != nil {
			return &LineError{s.line, err}
		}
	}
}

// server serves one input.
type server struct {
	in      *bufio.Reader
	out     *bufio.Writer
	line    int // number of the current line
	inBatch bool
	clock   int64 // clock of the current batch, in nanoseconds

	catalogs     [catalogCount][]choice.Entry
	catalog      int // index of the list being read
	missingItems int // items of that list still to be read

	senders    map[choice.SenderID]*hostedSender
	withEvents []choice.SenderID // senders with events in the batch, in the order of their first event
}

// handleLine handles one line, given without its line end.
func (s *server) handleLine(text string) error {
	f := &fields{rest: text}
	event := f.text("event")
	if !s.inBatch {
		return s.beginBatch(event, f)
	}
	if s.missingItems > 0 && event != "item" {
		return fielderror.New("event", "got %q, want %d more item lines of the catalog", event, s.missingItems)
	}
	switch event {
	case "go":
		if err := f.end(); err != nil {
			return err
		}
		return s.endBatch()
	case "catalog":
		return s.beginCatalog(f)
	case "item":
		return s.addItem(f)
	}
	return s.handleSenderEvent(event, f)
}

func (s *server) beginBatch(event string, f *fields) error {
	if event != "frame" {
		return fielderror.New("event", "%q outside a batch", event)
	}
	s.clock = f.integer("clock")
	s.inBatch = true
	return f.end()
}

// beginCatalog empties one of the stored lists. The item lines that follow fill it.
func (s *server) beginCatalog(f *fields) error {
	number, rows := f.integer("rosterId"), f.integer("rows")
	if err := f.end(); err != nil {
		return err
	}
	if number < 0 || number >= catalogCount {
		return fielderror.New("rosterId", "%d is not between 0 and %d", number, catalogCount-1)
	}
	if rows < 0 {
		return fielderror.New("rows", "%d is negative", rows)
	}
	s.catalog, s.missingItems = int(number), int(rows)
	s.catalogs[number] = nil
	return nil
}

func (s *server) addItem(f *fields) error {
	if s.missingItems == 0 {
		return fielderror.New("event", "an item line that no catalog line has announced")
	}
	entry, err := readItem(f)
	if err != nil {
		return err
	}
	s.missingItems--
	s.catalogs[s.catalog] = append(s.catalogs[s.catalog], entry)
	return nil
}

func (s *server) handleSenderEvent(event string, f *fields) error {
	handle, known := handlers[event]
	if !known {
		return fielderror.New("event", "unknown event %q", event)
	}
	id := choice.SenderID(f.text("sender"))
	if f.err != nil {
		return f.err
	}
	sender := s.senders[id]
	if sender == nil {
		if event != "start" {
			return fielderror.New("sender", "%q has not started", id)
		}
		sender = &hostedSender{id: id, server: s}
		s.senders[id] = sender
	}
	if !sender.hadEvent {
		sender.hadEvent = true
		s.withEvents = append(s.withEvents, id)
	}
	return handle(sender, f)
}

// endBatch ends the turn of each sender that had events in the batch, and writes the sender's lines.
func (s *server) endBatch() error {
	for _, id := range s.withEvents {
		sender := s.senders[id]
		sender.hadEvent = false
		if sender.core != nil {
			sender.core.TurnEnd()
		}
		if _, err := s.out.Write(sender.output.Bytes()); err != nil {
			return err
		}
		sender.output.Reset()
	}
	s.withEvents = s.withEvents[:0]
	s.inBatch = false
	if _, err := s.out.WriteString("done\n"); err != nil {
		return err
	}
	return s.out.Flush()
}

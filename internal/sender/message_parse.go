package sender

// This file parses the arguments of OUT.ADD into a message.

import (
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"

	"flaxcove/choice"
	"flaxcove/internal/journal"
)

const (
	maxID          = 128                 // maximum length in bytes of an id, and of each kind of key
	maxQuoted      = 64                  // bytes of a client's text that an answer quotes; each may take four bytes there
	maxDeadlineMS  = 24 * 60 * 60 * 1000 // longest time in milliseconds to the deadline that a message may ask for
	maxDestination = 1 << 53             // every whole number up to here is exact in a float64
)

// messageFields holds the numeric fields in the list of OUT.ADD; a missing or invalid one is -1.
type messageFields struct {
	deadlineMS  float64 // field d: milliseconds to the deadline
	destination float64 // field dest
}

// parseMessage parses the arguments of OUT.ADD, the command's name included, into a message that is accepted now. The text
// of an error is sent to the client.
func (s *Sender) parseMessage(args [][]byte) (*message, error) {
	if len(args) != 5 {
		return nil, fmt.Errorf("OUT.ADD takes a key, an id, a list and a body, not %d arguments", len(args)-1)
	}
	m := &message{key: string(args[1]), body: args[4]}
	m.ID, m.Key = choice.MessageID(args[2]), orderKey(m.key)
	if !isVisible(args[1]) || !isVisible(args[2]) {
		return nil, errors.New("key and id: up to 128 visible characters each")
	}
	f := m.parseFields(string(args[3]))
	class, known := s.cfg.ClassNumbers[m.className]
	switch {
	case !known:
		return nil, fmt.Errorf("c: no class %q", m.className[:min(len(m.className), maxQuoted)])
	case f.deadlineMS <= 0 || f.deadlineMS > maxDeadlineMS:
		return nil, errors.New("d: milliseconds, above 0 and within a day")
	case m.idempotencyKey != "" && !isVisible([]byte(m.idempotencyKey)):
		return nil, errors.New("k: up to 128 visible characters")
	case f.destination < 0 || f.destination > maxDestination || f.destination != float64(int64(f.destination)):
		return nil, errors.New("dest: a whole number")
	}
	m.Class, m.Destination, m.Account = class, choice.DestinationID(f.destination), s.account(m.tenant)
	m.acceptedAt = s.Now()
	m.Deadline = m.acceptedAt + choice.Time(f.deadlineMS*float64(choice.Millisecond))
	m.BulkBytes = m.bulkBytes()
	m.size = journal.FramedSize(len(m.acceptedHead()) + len(m.body) + len(m.acceptedTail()))
	return m, nil
}

// parseFields parses name=value pairs separated by commas. It sets the string fields of m, to copies that do not keep the
// list in memory, and returns the numeric ones. Unknown names are ignored.
func (m *message) parseFields(list string) messageFields {
	f := messageFields{deadlineMS: -1, destination: -1}
	for pair := range strings.SplitSeq(list, ",") {
		switch name, value, _ := strings.Cut(pair, "="); name {
		case "c":
			m.className = strings.Clone(value)
		case "k":
			m.idempotencyKey = strings.Clone(value)
		case "t":
			m.tenant = strings.Clone(value)
		case "d":
			f.deadlineMS = parseDecimal(value)
		case "dest":
			f.destination = parseDecimal(value)
		}
	}
	return f
}

// account returns the account of a tenant, whose share its messages use, or -1 if the settings do not name the tenant.
func (s *Sender) account(tenant string) choice.AccountNo {
	if no, known := s.cfg.AccountNumbers[tenant]; known {
		return no
	}
	return -1
}

// parseDecimal parses a number of digits with an optional decimal point. It returns -1 for any other text, also for forms
// that strconv accepts but OUT.ADD does not: names such as Infinity, exponents and hexadecimal numbers.
func parseDecimal(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" {
		return -1
	}
	return v
}

// isVisible reports whether an id or key can be used in a header field: it is not empty, has at most maxID bytes, and has no
// character that would end a line, a field or a quoted string.
func isVisible(id []byte) bool {
	for _, c := range id {
		if c <= ' ' || c >= 0x7f || c == '"' || c == '\\' {
			return false
		}
	}
	return len(id) > 0 && len(id) <= maxID
}

// orderKey converts a client's ordering key to the form of package choice. Zeros mean no key. A text that is not a
// hexadecimal number is hashed.
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

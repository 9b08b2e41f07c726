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
	maxID          = 128                 // bytes of an id, and of each kind of key
	maxHoldMS      = 24 * 60 * 60 * 1000 // until its deadline, that a message may ask for
	maxDestination = 1 << 53             // up to here each whole number is a float64
)

// messageFields are the parts of the list of OUT.ADD that are numbers.
type messageFields struct {
	holdMS      float64 // d
	destination float64 // dest
}

// parseMessage makes a message of the arguments of OUT.ADD, accepted now.
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
		return nil, fmt.Errorf("c: no class %q", m.className)
	case f.holdMS <= 0 || f.holdMS > maxHoldMS:
		return nil, errors.New("d: milliseconds, above 0 and within a day")
	case m.idempotencyKey != "" && !isVisible([]byte(m.idempotencyKey)):
		return nil, errors.New("k: up to 128 visible characters")
	case f.destination < 0 || f.destination > maxDestination || f.destination != float64(int64(f.destination)):
		return nil, errors.New("dest: a whole number")
	}
	m.Class, m.Destination, m.Account = class, choice.DestinationID(f.destination), s.account(m.tenant)
	m.acceptedAt = s.Now()
	m.Deadline = m.acceptedAt + choice.Time(f.holdMS*float64(choice.Millisecond))
	m.size = journal.Framed(len(m.acceptedRecord()))
	return m, nil
}

// parseFields reads name=value pairs, separated by commas. Names that are not known are passed over, and numbers that
// are missing are -1.
func (m *message) parseFields(list string) messageFields {
	f := messageFields{holdMS: -1, destination: -1}
	for pair := range strings.SplitSeq(list, ",") {
		switch name, value, _ := strings.Cut(pair, "="); name {
		case "c":
			m.className = value
		case "k":
			m.idempotencyKey = value
		case "t":
			m.tenant = value
		case "d":
			f.holdMS = parseDecimal(value)
		case "dest":
			f.destination = parseDecimal(value)
		}
	}
	return f
}

// account is the account whose share a message counts to, -1 for a tenant that the settings do not name.
func (s *Sender) account(tenant string) choice.AccountNo {
	if no, known := s.cfg.Accounts[tenant]; known {
		return no
	}
	return -1
}

// parseDecimal reads digits with decimals at most, and is -1 for any other text: names like Infinity, exponents and
// hexadecimal numbers, which strconv reads too, are not meant.
func parseDecimal(text string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" {
		return -1
	}
	return v
}

// isVisible reports whether an id or key can stand in a header field: nothing in it may end a line, a field or a string.
func isVisible(id []byte) bool {
	for _, c := range id {
		if c <= ' ' || c >= 0x7f || c == '"' || c == '\\' {
			return false
		}
	}
	return len(id) > 0 && len(id) <= maxID
}

// orderKey is a client's ordering key as package choice takes it: zeros stand for none, and text that is no hexadecimal
// number is hashed.
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

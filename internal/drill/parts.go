package drill

import (
	"encoding/base64"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// parts reads the tab-separated parts of one line in order and keeps the first error.
type parts struct {
	rest string
	done bool
	err  error
}

func (p *parts) fail(field, format string, args ...any) {
	if p.err == nil {
		p.err = fmt.Errorf("field %s: %s", field, fmt.Sprintf(format, args...))
	}
}

func (p *parts) next(field string) string {
	if p.done {
		p.fail(field, "missing")
		return ""
	}
	part, rest, more := strings.Cut(p.rest, "\t")
	p.rest, p.done = rest, !more
	return part
}

func (p *parts) text(field string) string {
	part := p.next(field)
	if part == "" || part == "-" {
		p.fail(field, "missing")
	}
	return part
}

// remainder is a part that runs to the end of the line.
func (p *parts) remainder(field string) string {
	if p.done {
		p.fail(field, "missing")
	}
	part := p.rest
	p.rest, p.done = "", true
	return part
}

func (p *parts) parse(field, part string) int64 {
	n, err := strconv.ParseInt(part, 10, 64)
	if err != nil {
		p.fail(field, "%q is not a whole number", part)
	}
	return n
}

func (p *parts) whole(field string) int64 { return p.parse(field, p.text(field)) }

func (p *parts) wholeOr(field string, absent int64) int64 {
	if part := p.next(field); part != "-" {
		return p.parse(field, part)
	}
	return absent
}

func (p *parts) real(field, part string) float64 {
	n, err := strconv.ParseFloat(part, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		p.fail(field, "%q is not a number", part)
		return 0
	}
	return n
}

func (p *parts) realOr(field string, absent float64) float64 {
	if part := p.next(field); part != "-" {
		return p.real(field, part)
	}
	return absent
}

func (p *parts) truth(field string) bool {
	switch part := p.text(field); part {
	case "1":
		return true
	case "0":
	default:
		p.fail(field, "%q is neither 1 nor 0", part)
	}
	return false
}

func (p *parts) bytes(field string) []byte {
	part := p.next(field)
	if part == "-" {
		return nil
	}
	b, err := base64.StdEncoding.DecodeString(part)
	if err != nil {
		p.fail(field, "not base64")
	}
	return b
}

func (p *parts) row(field string) []float64 {
	part := p.next(field)
	if part == "-" || part == "" {
		return nil
	}
	var row []float64
	for _, one := range strings.Split(part, ",") {
		if one == "-" {
			one = "0"
		}
		row = append(row, p.real(field, one))
	}
	return row
}

func (p *parts) end() error {
	if !p.done {
		p.fail("end", "the line goes on after its last field")
	}
	return p.err
}

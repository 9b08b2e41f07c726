package drill

import (
	"encoding/base64"
	"math"
	"strconv"
	"strings"

	"flaxcove/internal/fielderror"
)

// absent is the value of a field that is left out.
const absent = "-"

// fields reads the tab-separated fields of one line in order and keeps the first error.
type fields struct {
	rest string
	done bool // the last field has been read
	err  error
}

func (f *fields) fail(field, format string, args ...any) {
	if f.err == nil {
		f.err = fielderror.New(field, format, args...)
	}
}

// next returns the next field unchanged.
func (f *fields) next(field string) string {
	if f.done {
		f.fail(field, "missing")
		return ""
	}
	text, rest, more := strings.Cut(f.rest, "\t")
	f.rest, f.done = rest, !more
	return text
}

// text returns a required field.
func (f *fields) text(field string) string {
	text := f.next(field)
	if text == "" || text == absent {
		f.fail(field, "missing")
	}
	return text
}

// remainder returns the rest of the line as one field.
func (f *fields) remainder(field string) string {
	if f.done {
		f.fail(field, "missing")
	}
	text := f.rest
	f.rest, f.done = "", true
	return text
}

// integer returns a required whole number.
func (f *fields) integer(field string) int64 { return f.parseInteger(field, f.text(field)) }

// integerOr returns a whole number, or fallback if the field is absent.
func (f *fields) integerOr(field string, fallback int64) int64 {
	if text := f.next(field); text != absent {
		return f.parseInteger(field, text)
	}
	return fallback
}

func (f *fields) parseInteger(field, text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		f.fail(field, "%q is not a whole number", text)
	}
	return n
}

// numberOr returns a finite number, or fallback if the field is absent.
func (f *fields) numberOr(field string, fallback float64) float64 {
	if text := f.next(field); text != absent {
		return f.parseNumber(field, text)
	}
	return fallback
}

func (f *fields) parseNumber(field, text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		f.fail(field, "%q is not a number", text)
		return 0
	}
	return n
}

// boolean returns a required flag, written as 1 or 0.
func (f *fields) boolean(field string) bool {
	switch text := f.text(field); text {
	case "1":
		return true
	case "0":
	default:
		f.fail(field, "%q is neither 1 nor 0", text)
	}
	return false
}

// bytes returns a field written in base64, or nil if it is absent.
func (f *fields) bytes(field string) []byte {
	text := f.next(field)
	if text == absent {
		return nil
	}
	b, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		f.fail(field, "not valid base64")
	}
	return b
}

// numbers returns numbers separated by commas, of which an absent one counts as 0. It returns nil if the field is
// absent.
func (f *fields) numbers(field string) []float64 {
	text := f.next(field)
	if text == absent || text == "" {
		return nil
	}
	var all []float64
	for _, one := range strings.Split(text, ",") {
		if one == absent {
			one = "0"
		}
		all = append(all, f.parseNumber(field, one))
	}
	return all
}

// end returns the first error of the line, or an error if the line has further fields.
func (f *fields) end() error {
	if !f.done {
		f.fail("end", "the line has further fields")
	}
	return f.err
}

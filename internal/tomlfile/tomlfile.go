// Package tomlfile reads TOML strictly and finds on which line of a file a field stands.
//
// It owns the form of the messages: file, line, field, and what is wrong. What a field means and which values it may have is
// up to its callers. It does not guess at a value that is there but wrong, and does not open files. lines.go finds the lines.
package tomlfile

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Error is what is wrong with a file.
type Error struct {
	File  string
	Line  int // 0 where the whole file is meant
	Field string
	What  string
}

func (e *Error) Error() string {
	at := e.File
	if e.Line > 0 {
		at += fmt.Sprintf(":%d", e.Line)
	}
	if e.Field != "" {
		at += ": field " + e.Field
	}
	return at + ": " + e.What
}

// Errors are all that is wrong with a file, printed one a line.
type Errors []*Error

func (all Errors) Error() string {
	var lines []string
	for _, e := range all {
		lines = append(lines, e.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns each of the errors.
func (all Errors) Unwrap() (each []error) {
	for _, e := range all {
		each = append(each, e)
	}
	return each
}

// asError is the only error, or all.
func (all Errors) asError() error {
	if len(all) == 1 {
		return all[0]
	}
	return all
}

// Problem is one thing wrong with a value: the path of its field, as in route[2].name, and what is wrong.
type Problem struct{ Path, What string }

// At turns problems with a file's text into errors with their lines, sorted by line; nil for none.
func At(name string, text []byte, problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	lines, all := Lines(text), Errors{}
	for _, p := range problems {
		all = append(all, &Error{File: name, Line: LineOf(lines, p.Path), Field: p.Path, What: p.What})
	}
	slices.SortStableFunc(all, func(a, b *Error) int { return cmp.Compare(a.Line, b.Line) })
	return all.asError()
}

// Decode reads TOML strictly into a value: a field that is not known is an error, with its line.
func Decode(name string, text []byte, to any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(to)
	var unknown *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknown) && len(unknown.Errors) > 0:
		var all Errors
		for i := range unknown.Errors {
			all = append(all, decodeError(name, &unknown.Errors[i], "there is no such field"))
		}
		return all.asError()
	case errors.As(err, &wrong):
		return decodeError(name, wrong, strings.TrimPrefix(wrong.Error(), "toml: "))
	}
	return &Error{File: name, What: err.Error()}
}

// decodeError is the decoder's error with its line and field.
func decodeError(name string, err *toml.DecodeError, what string) *Error {
	line, _ := err.Position()
	return &Error{File: name, Line: line, Field: strings.Join(err.Key(), "."), What: what}
}

// Package tomlfile decodes TOML strictly and finds the line of a field in a file.
//
// It defines the form of the errors: file, line, field, and what is wrong. Its callers define the fields and check their
// values. It never replaces an invalid value by a default, and it does not open files. lines.go finds the lines.
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

// Error is one error in a file.
type Error struct {
	File   string // name
	Line   int    // from 1; 0 if the error has no line
	Field  string // path, as in route[2].name; empty if the error is not about a field
	Reason string // what is wrong
}

func (e *Error) Error() string {
	at := e.File
	if e.Line > 0 {
		at += fmt.Sprintf(":%d", e.Line)
	}
	if e.Field != "" {
		at += ": field " + e.Field
	}
	return at + ": " + e.Reason
}

// Errors holds several errors in one or more files. Its text has one line for each error.
type Errors []*Error

func (all Errors) Error() string {
	var lines []string
	for _, e := range all {
		lines = append(lines, e.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the errors as a list, for errors.Is and errors.As.
func (all Errors) Unwrap() (each []error) {
	for _, e := range all {
		each = append(each, e)
	}
	return each
}

// asError returns the error itself if there is exactly one, and otherwise the list.
func (all Errors) asError() error {
	if len(all) == 1 {
		return all[0]
	}
	return all
}

// Problem reports an invalid value before its line is known. Path is the path of the field, as in route[2].name, and
// Reason says what is wrong with the value.
type Problem struct{ Path, Reason string }

// LocateProblems converts problems with the text of the file name into errors with line numbers, sorted by line. It
// returns nil if there are none, an *Error for a single problem, and Errors for several.
func LocateProblems(name string, text []byte, problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	lines, all := Lines(text), Errors{}
	for _, p := range problems {
		all = append(all, &Error{File: name, Line: LineOf(lines, p.Path), Field: p.Path, Reason: p.Reason})
	}
	slices.SortStableFunc(all, func(a, b *Error) int { return cmp.Compare(a.Line, b.Line) })
	return all.asError()
}

// Decode decodes TOML into the value that to points to. A field that the value does not have is an error. name is the
// name of the file in errors. The error is an *Error or, for several unknown fields, Errors.
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
	return &Error{File: name, Reason: err.Error()}
}

// decodeError returns an *Error with the line and field of the decoder's error and the given text.
func decodeError(name string, err *toml.DecodeError, what string) *Error {
	line, _ := err.Position()
	return &Error{File: name, Line: line, Field: strings.Join(err.Key(), "."), Reason: what}
}

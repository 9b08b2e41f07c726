// Package fielderror defines the error that names a field of a configuration file or of a protocol's line. It has no state,
// so it adds nothing to any role of docs/CAPACITY.md.
package fielderror

import "fmt"

// Error says which field is wrong and why.
type Error struct {
	Field string
	Err   error
}

// New makes an error with a formatted reason; %w in the format wraps.
func New(field, format string, args ...any) *Error {
	return &Error{Field: field, Err: fmt.Errorf(format, args...)}
}

func (e *Error) Error() string { return "field " + e.Field + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *Error) Unwrap() error { return e.Err }

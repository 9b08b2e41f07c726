// Package fielderror defines the error that names an invalid field of a configuration file or of a line of a protocol.
// The package has no state, so docs/CAPACITY.md counts no memory for it.
package fielderror

import "fmt"

// Error reports an invalid field.
type Error struct {
	Field string // name or path of the field
	Err   error  // the reason
}

// New returns an *Error with a formatted reason. The format may contain %w, as in fmt.Errorf.
func New(field, format string, args ...any) *Error {
	return &Error{Field: field, Err: fmt.Errorf(format, args...)}
}

func (e *Error) Error() string { return "field " + e.Field + ": " + e.Err.Error() }

// Unwrap returns the reason, for errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.Err }

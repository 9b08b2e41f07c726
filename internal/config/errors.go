package config

// This file defines the errors that name a field. What they print is part of the commands' output.

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// FieldError says which field of the configuration file is wrong. Err is a *SettingError where the field is settings and
// one value in it is meant.
type FieldError struct {
	Field string
	Err   error
}

func (e *FieldError) Error() string { return "field " + e.Field + ": " + e.Err.Error() }

// Unwrap returns what is wrong with the field.
func (e *FieldError) Unwrap() error { return e.Err }

// fieldError is a FieldError with a formatted reason.
func fieldError(field, format string, args ...any) error {
	return &FieldError{Field: field, Err: fmt.Errorf(format, args...)}
}

// SettingError says which value of the settings object is wrong, by its path in the object, as in classes[0].deadline.
type SettingError struct {
	Path   string
	Reason string
}

func (e *SettingError) Error() string { return e.Path + ": " + e.Reason }

// settingError is a SettingError with a formatted reason.
func settingError(path, format string, args ...any) error {
	return &SettingError{Path: path, Reason: fmt.Sprintf(format, args...)}
}

// jsonError turns an error of the JSON decoder about a value's type into a FieldError; the prefix is the path of the object
// that was decoded. Other errors are returned as they are.
func jsonError(err error, prefix string) error {
	var mismatch *json.UnmarshalTypeError
	if !errors.As(err, &mismatch) {
		return err
	}
	return fieldError(strings.TrimSuffix(prefix+mismatch.Field, "."), "%s does not fit", mismatch.Value)
}

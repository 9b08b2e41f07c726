package config

// This file defines the errors that name a value of the settings object. Commands print their texts.

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"flaxcove/internal/fielderror"
)

// SettingError reports an invalid value in the settings object. An error about the configuration file wraps it in a
// *fielderror.Error whose field is settings.
type SettingError struct {
	Path   string // of the value in the settings object, as in classes[0].deadline
	Reason string // why the value is invalid
}

func (e *SettingError) Error() string { return e.Path + ": " + e.Reason }

// settingError returns a *SettingError with a formatted reason.
func settingError(path, format string, args ...any) error {
	return &SettingError{Path: path, Reason: fmt.Sprintf(format, args...)}
}

// jsonError converts the JSON decoder's error about a value of the wrong type into a *fielderror.Error. The prefix is
// the path of the decoded object, with a dot at its end, or empty. Other errors are returned unchanged.
func jsonError(err error, prefix string) error {
	var mismatch *json.UnmarshalTypeError
	if !errors.As(err, &mismatch) {
		return err
	}
	return fielderror.New(strings.TrimSuffix(prefix+mismatch.Field, "."), "JSON %s does not fit the field's type", mismatch.Value)
}

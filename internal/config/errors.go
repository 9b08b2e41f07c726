package config

// This file defines the errors that name a value of the settings object. What they print is part of the commands' output.

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"flaxcove/internal/fielderror"
)

// SettingError says which value of the settings object is wrong, by its path in the object, as in classes[0].deadline. In an
// error of the configuration file it is the reason of the field settings.
type SettingError struct {
	Path   string
	Reason string
}

func (e *SettingError) Error() string { return e.Path + ": " + e.Reason }

// settingError is a SettingError with a formatted reason.
func settingError(path, format string, args ...any) error {
	return &SettingError{Path: path, Reason: fmt.Sprintf(format, args...)}
}

// jsonError turns an error of the JSON decoder about a value's type into a *fielderror.Error; the prefix is the path of the object
// that was decoded. Other errors are returned as they are.
func jsonError(err error, prefix string) error {
	var mismatch *json.UnmarshalTypeError
	if !errors.As(err, &mismatch) {
		return err
	}
	return fielderror.New(strings.TrimSuffix(prefix+mismatch.Field, "."), "%s does not fit", mismatch.Value)
}

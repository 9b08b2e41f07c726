package fielderror

import (
	"errors"
	"fmt"
	"io/fs"
	"testing"
)

// TestError checks the text of an Error and that errors.As and errors.Is find the Error and its reason.
func TestError(t *testing.T) {
	err := fmt.Errorf("config.json: %w", New("listen", "%w", fs.ErrNotExist))
	var field *Error
	if !errors.As(err, &field) || field.Field != "listen" || !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("%#v", err)
	}
	if got, want := err.Error(), "config.json: field listen: file does not exist"; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}

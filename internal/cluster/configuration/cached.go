// Package configuration holds what lasts of the settings that all senders of a cluster share: the newest version that
// this process had in force, in its cluster folder.
//
// It owns one file, written whole (a file aside, its bytes, its name, the folder), with a sum over its content. What is
// torn or damaged is named by its path and not used. It must never write a version below one that was in force here:
// a process runs no older version after a newer one. The packages below it decide (ledger, spread) and do (run).
//
// Load (docs/CAPACITY.md, row sender): one file of the settings' size, written once for each change.
package configuration

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"flaxcove/internal/sender/together"
)

const (
	cachedFile = "configuration.json"
	tempFile   = "configuration.json.new"
	// MostBytes bounds a settings object in its canonical form. A proposal with its envelope stays under the council's
	// bound for one command (machine.MaxBody).
	MostBytes = 240 << 10
	// mostFile is what a kept file may take: the settings and the few fields around them.
	mostFile = MostBytes + 4<<10
	sumBytes = 16
)

// Sum identifies a settings object by its canonical form: 32 hexadecimal digits.
type Sum string

// SumOf is the sum of settings in canonical form.
func SumOf(canonical json.RawMessage) Sum {
	digest := sha256.Sum256(canonical)
	return Sum(hex.EncodeToString(digest[:sumBytes]))
}

// Canonical is the one form of a settings object that is decided, carried and summed: no blanks, names sorted, numbers
// as written. It refuses what is no JSON object, and what is over MostBytes.
func Canonical(settings json.RawMessage) (json.RawMessage, error) {
	decoder := json.NewDecoder(bytes.NewReader(settings))
	decoder.UseNumber()
	var object map[string]any
	if err := decoder.Decode(&object); err != nil {
		return nil, fmt.Errorf("settings: no JSON object: %w", err)
	}
	if object == nil {
		return nil, errors.New("settings: no JSON object: null")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("settings: more behind the end of the object")
	}
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(object); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	text := bytes.TrimSuffix(out.Bytes(), []byte("\n"))
	if len(text) > MostBytes {
		return nil, fmt.Errorf("settings: %d bytes; at most %d", len(text), MostBytes)
	}
	return text, nil
}

// cachedForm is the file. Unknown fields are skipped: a later version of the program may have written it.
type cachedForm struct {
	Version  uint64          `json:"version"`
	Sum      Sum             `json:"sum"`
	Settings json.RawMessage `json:"settings"`
}

// Path is where a cluster folder keeps the newest version.
func Path(folder string) string { return filepath.Join(folder, cachedFile) }

// LoadCached reads what an earlier life kept in a cluster folder (here.folder of the cluster file); version 0 where there is
// nothing. An error names the file and what is wrong with it: its content must not be used then.
func LoadCached(folder string) (together.Configuration, error) {
	path := Path(folder)
	text, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return together.Configuration{}, nil
	case err != nil:
		return together.Configuration{}, err
	case len(text) > mostFile:
		return together.Configuration{}, fmt.Errorf("%s: %d bytes; it is not this file", path, len(text))
	}
	var k cachedForm
	if err := json.Unmarshal(text, &k); err != nil {
		return together.Configuration{}, fmt.Errorf("%s: torn or damaged: %w", path, err)
	}
	switch {
	case k.Version == 0:
		return together.Configuration{}, fmt.Errorf("%s: field version: 0 is never kept", path)
	case SumOf(k.Settings) != k.Sum:
		return together.Configuration{}, fmt.Errorf("%s: field sum: it is not that of the settings: damaged", path)
	}
	return together.Configuration{Version: k.Version, Settings: k.Settings}, nil
}

// Keep replaces what is kept, on disk when it returns. Settings must be in canonical form.
func Keep(folder string, c together.Configuration) error {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false) // as the sum is over the bytes
	if err := encoder.Encode(cachedForm{c.Version, SumOf(c.Settings), c.Settings}); err != nil {
		return err
	}
	aside := filepath.Join(folder, tempFile)
	file, err := os.OpenFile(aside, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	_, err = file.Write(out.Bytes())
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	if err := os.Rename(aside, Path(folder)); err != nil {
		return err
	}
	dir, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

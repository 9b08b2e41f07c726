// Package configuration stores the settings that all senders of a cluster share: the newest version that this process
// had in force, in its cluster folder. It also has the canonical form, checksums and patches of settings.
//
// It owns one file, replaced atomically (a temporary file is written, synced and renamed, and the folder synced), with a
// checksum of its content. A truncated or damaged file is reported by its path and not used. It must never write a
// version older than one that was in force here: a process runs no older version after a newer one. The packages below
// it decide (ledger, spread) and execute (run).
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

	"flaxcove/internal/sender/clusterapi"
)

const (
	cachedFile = "configuration.json"
	tempFile   = "configuration.json.new"
	// MaxBytes bounds a settings object in its canonical form. A command with its other fields stays under the bound
	// of the consensus group (machine.MaxBodyBytes).
	MaxBytes = 240 << 10
	// maxFileBytes bounds the file: the settings and the few fields around them.
	maxFileBytes = MaxBytes + 4<<10
	sumLength    = 16
)

// Sum is a checksum that identifies a settings object by its canonical form: 32 hexadecimal digits.
type Sum string

// SumOf returns the checksum of settings in canonical form.
func SumOf(canonical json.RawMessage) Sum {
	digest := sha256.Sum256(canonical)
	return Sum(hex.EncodeToString(digest[:sumLength]))
}

// Canonicalize returns the form of a settings object that is committed, sent and summed: no blanks, names sorted, numbers
// as written. Anything but a JSON object, and one over MaxBytes, is an error.
func Canonicalize(settings json.RawMessage) (json.RawMessage, error) {
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
	if len(text) > MaxBytes {
		return nil, fmt.Errorf("settings: %d bytes; at most %d", len(text), MaxBytes)
	}
	return text, nil
}

// cachedVersion is the content of the file. Unknown fields are skipped: a newer program may have written it.
type cachedVersion struct {
	Version  uint64          `json:"version"`
	Sum      Sum             `json:"sum"`
	Settings json.RawMessage `json:"settings"`
}

// Path is the file in a cluster folder that has the newest version.
func Path(folder string) string { return filepath.Join(folder, cachedFile) }

// LoadCached reads the version that an earlier incarnation stored in a cluster folder (here.folder of the cluster file);
// version 0 without one. An error names the file and what is wrong with it: its content must not be used then.
func LoadCached(folder string) (clusterapi.Configuration, error) {
	path := Path(folder)
	text, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return clusterapi.Configuration{}, nil
	case err != nil:
		return clusterapi.Configuration{}, err
	case len(text) > maxFileBytes:
		return clusterapi.Configuration{}, fmt.Errorf("%s: %d bytes; it is not this file", path, len(text))
	}
	var cached cachedVersion
	if err := json.Unmarshal(text, &cached); err != nil {
		return clusterapi.Configuration{}, fmt.Errorf("%s: torn or damaged: %w", path, err)
	}
	switch {
	case cached.Version == 0:
		return clusterapi.Configuration{}, fmt.Errorf("%s: field version: 0 is never kept", path)
	case SumOf(cached.Settings) != cached.Sum:
		return clusterapi.Configuration{}, fmt.Errorf("%s: field sum: it is not that of the settings: damaged", path)
	}
	return clusterapi.Configuration{Version: cached.Version, Settings: cached.Settings}, nil
}

// Store replaces the stored version, and returns once it is on disk. Settings must be in canonical form.
func Store(folder string, c clusterapi.Configuration) error {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false) // as the sum is over the bytes
	if err := encoder.Encode(cachedVersion{c.Version, SumOf(c.Settings), c.Settings}); err != nil {
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

// Package configuration stores the shared settings of a cluster on disk, and defines their canonical form, checksums
// and patches. All senders of a cluster run the same settings; their versions are numbered from 1, and version 0 stands
// for the settings in a process's own configuration file.
//
// The package owns one file in the cluster folder of a process, with the newest version that the process had in force
// and a checksum of it. Store replaces the file atomically: it writes, syncs and renames a temporary file and syncs the
// folder. A truncated or damaged file is reported with its path and not used. Callers must not store an older version
// than one that was in force in the process, because a process never runs an older version after a newer one.
//
// Package ledger records the committed versions, package spread decides which process gets which version when, and
// package run executes these decisions.
//
// Load (docs/CAPACITY.md, row sender): one file of the size of the settings, written once per change.
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
	// MaxBytes is the maximum length of a settings object in canonical form. A command with the settings and its other
	// fields stays below the limit of the consensus group (machine.MaxBodyBytes).
	MaxBytes = 240 << 10
	// maxFileBytes is the maximum length of the file, which has the settings and a few other fields.
	maxFileBytes = MaxBytes + 4<<10
	sumLength    = 16 // bytes of the SHA-256 digest that are used
)

// Sum is a checksum of a settings object in canonical form: 32 hexadecimal digits.
type Sum string

// SumOf returns the checksum of settings in canonical form.
func SumOf(canonical json.RawMessage) Sum {
	digest := sha256.Sum256(canonical)
	return Sum(hex.EncodeToString(digest[:sumLength]))
}

// Canonicalize returns the canonical form of a settings object, which is the form that is committed, sent and
// checksummed. It has no white space, sorted names, and numbers as they were written. Input that is not a single JSON
// object, or is longer than MaxBytes in canonical form, is an error.
func Canonicalize(settings json.RawMessage) (json.RawMessage, error) {
	decoder := json.NewDecoder(bytes.NewReader(settings))
	decoder.UseNumber()
	var object map[string]any
	if err := decoder.Decode(&object); err != nil {
		return nil, fmt.Errorf("settings: not a JSON object: %w", err)
	}
	if object == nil {
		return nil, errors.New("settings: not a JSON object: null")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("settings: data after the end of the JSON object")
	}
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(object); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	text := bytes.TrimSuffix(out.Bytes(), []byte("\n"))
	if len(text) > MaxBytes {
		return nil, fmt.Errorf("settings: %d bytes in canonical form; at most %d are allowed", len(text), MaxBytes)
	}
	return text, nil
}

// cachedVersion is the content of the file. Unknown fields are ignored, because a newer program may have written the
// file.
type cachedVersion struct {
	Version  uint64          `json:"version"`
	Sum      Sum             `json:"sum"`
	Settings json.RawMessage `json:"settings"`
}

// Path returns the path of the file with the stored version in a cluster folder.
func Path(folder string) string { return filepath.Join(folder, cachedFile) }

// LoadCached reads the version that an earlier incarnation of the process stored in a cluster folder (here.folder of
// the cluster file). It returns version 0 if there is none. An error names the file and the problem; the content of the
// file must then not be used.
func LoadCached(folder string) (clusterapi.Configuration, error) {
	path := Path(folder)
	text, err := os.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return clusterapi.Configuration{}, nil
	case err != nil:
		return clusterapi.Configuration{}, err
	case len(text) > maxFileBytes:
		return clusterapi.Configuration{}, fmt.Errorf("%s: %d bytes; a stored version has at most %d", path, len(text), maxFileBytes)
	}
	var cached cachedVersion
	if err := json.Unmarshal(text, &cached); err != nil {
		return clusterapi.Configuration{}, fmt.Errorf("%s: truncated or damaged: %w", path, err)
	}
	switch {
	case cached.Version == 0:
		return clusterapi.Configuration{}, fmt.Errorf("%s: field version: 0 or missing", path)
	case SumOf(cached.Settings) != cached.Sum:
		return clusterapi.Configuration{}, fmt.Errorf("%s: field sum: does not match field settings; the file is damaged", path)
	}
	return clusterapi.Configuration{Version: cached.Version, Settings: cached.Settings}, nil
}

// Store replaces the stored version in a cluster folder and returns once the new version is synced to disk. The
// settings must be in canonical form.
func Store(folder string, c clusterapi.Configuration) error {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false) // because the checksum is over the unescaped bytes
	if err := encoder.Encode(cachedVersion{c.Version, SumOf(c.Settings), c.Settings}); err != nil {
		return err
	}
	tempPath := filepath.Join(folder, tempFile)
	file, err := os.OpenFile(tempPath, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	_, err = file.Write(out.Bytes())
	if err = errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	if err := os.Rename(tempPath, Path(folder)); err != nil {
		return err
	}
	dir, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

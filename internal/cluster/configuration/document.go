package configuration

// This file is how one version is made from another, and how it is compressed for sending. All of it is pure.

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Document is one version's content in canonical form.
type Document struct {
	Version  uint64          `json:"version"`
	Sum      Sum             `json:"sum"`
	Settings json.RawMessage `json:"settings"`
}

// NewDocument returns a document with the settings in canonical form.
func NewDocument(version uint64, settings json.RawMessage) (Document, error) {
	canonical, err := Canonicalize(settings)
	if err != nil {
		return Document{}, err
	}
	return Document{version, SumOf(canonical), canonical}, nil
}

// ApplyPatch applies a JSON merge patch (RFC 7386) to settings and returns the result in canonical form.
func ApplyPatch(settings, patch json.RawMessage) (json.RawMessage, error) {
	if _, err := Canonicalize(patch); err != nil {
		return nil, fmt.Errorf("patch: %w", err)
	}
	merged, err := jsonpatch.MergePatch(settings, patch)
	if err != nil {
		return nil, fmt.Errorf("patch: %w", err)
	}
	return Canonicalize(merged)
}

// CreatePatch returns a merge patch that turns settings into others. It returns false where there is none that gives
// exactly these: a merge patch can't set a field to null, and the library reads numbers as floats.
func CreatePatch(from, to json.RawMessage) (json.RawMessage, bool) {
	patch, err := jsonpatch.CreateMergePatch(from, to)
	if err != nil {
		return nil, false
	}
	merged, err := ApplyPatch(from, patch)
	if err != nil || !bytes.Equal(merged, to) {
		return nil, false
	}
	return patch, true
}

// Compress compresses settings for sending.
func Compress(settings json.RawMessage) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(settings); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Decompress reads what Compress wrote; settings of more than MaxBytes are an error.
func Decompress(packed []byte) (json.RawMessage, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("packed settings: %w", err)
	}
	settings, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("packed settings: %w", err)
	}
	if len(settings) > MaxBytes {
		return nil, fmt.Errorf("packed settings: over %d bytes", MaxBytes)
	}
	return settings, nil
}

package configuration

// This file holds the functions that make one version from another and compress it for sending. They have no side
// effects.

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Document is one version of the settings in canonical form. The zero value stands for no version.
type Document struct {
	Version  uint64          `json:"version"`
	Sum      Sum             `json:"sum"`
	Settings json.RawMessage `json:"settings"`
}

// NewDocument returns the document of a version, with the settings in canonical form and their checksum. Settings that
// Canonicalize rejects are an error.
func NewDocument(version uint64, settings json.RawMessage) (Document, error) {
	canonical, err := Canonicalize(settings)
	if err != nil {
		return Document{}, err
	}
	return Document{version, SumOf(canonical), canonical}, nil
}

// ApplyPatch applies a JSON merge patch (RFC 7386) to settings and returns the result in canonical form. A patch that
// is not a JSON object is an error, and so is a result that Canonicalize rejects.
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

// CreatePatch returns a JSON merge patch that changes the settings from into the settings to. It returns false if no
// patch gives exactly those: a merge patch can't set a field to null, and the library reads numbers as floats.
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

// Compress compresses settings with gzip for sending.
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

// Decompress returns the settings that Compress compressed. More than MaxBytes of settings are an error.
func Decompress(compressed []byte) (json.RawMessage, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("compressed settings: %w", err)
	}
	settings, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("compressed settings: %w", err)
	}
	if len(settings) > MaxBytes {
		return nil, fmt.Errorf("compressed settings: more than %d bytes after decompression", MaxBytes)
	}
	return settings, nil
}

package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

// MaxHistory is the maximum number of changes in the record's history.
const MaxHistory = 64

// Encode returns the record as JSON. It fails with ErrValueTooLarge if the result exceeds the key-value service's limit.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	if len(data) > waxwingpick.MaxValueSize {
		return nil, fmt.Errorf("configuration of %d bytes: %w", len(data), waxwingpick.ErrValueTooLarge)
	}
	return data, nil
}

// Decode parses a record and validates it. Unknown fields are ignored, so that the processes of a
// fleet can be upgraded one at a time.
func Decode(data []byte) (Record, error) {
	r, _, err := decodeAny(data)
	return r, err
}

// decodeAny is like Decode but also reports whether the record has fields that are unknown to this version.
func decodeAny(data []byte) (r Record, newer bool, err error) {
	r, err = decode(data, true)
	if err != nil {
		newer = true
		r, err = decode(data, false)
	}
	if err != nil {
		return Record{}, false, err
	}
	if r.Revision < 1 {
		return Record{}, false, eris.Errorf("decode configuration: revision %d is not positive", r.Revision)
	}
	if err := Validate(r); err != nil {
		return Record{}, false, fmt.Errorf("decode configuration: %w", err)
	}
	return r, newer, nil
}

// decode parses one JSON value of bounded size. It rejects unknown fields if strict is set.
func decode(data []byte, strict bool) (Record, error) {
	var r Record
	if len(data) > waxwingpick.MaxValueSize {
		return r, fmt.Errorf("configuration of %d bytes: %w", len(data), waxwingpick.ErrValueTooLarge)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	if strict {
		dec.DisallowUnknownFields()
	}
	if err := dec.Decode(&r); err != nil {
		return Record{}, fmt.Errorf("decode configuration: %w", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return Record{}, eris.New("decode configuration: data after the record")
	}
	return r, nil
}

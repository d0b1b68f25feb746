package waxwingpick

import (
	"encoding/json"
	"fmt"
	"unicode/utf8"
)

// Header is one HTTP header field. Its value may hold any bytes that HTTP allows.
type Header struct {
	Name  string
	Value string
}

// headerJSON is the encoding of a Header. Bytes replaces a Value that is not UTF-8, which JSON cannot hold.
type headerJSON struct {
	Name  string `json:"name"`
	Value string `json:"value"`
	Bytes []byte `json:"valueBytes,omitempty"`
}

// MarshalJSON encodes the field.
func (h Header) MarshalJSON() ([]byte, error) {
	encoded := headerJSON{
		Name:  h.Name,
		Value: h.Value,
	}
	if !utf8.ValidString(h.Value) {
		encoded.Value, encoded.Bytes = "", []byte(h.Value)
	}
	b, err := json.Marshal(encoded)
	if err != nil {
		return nil, fmt.Errorf("encode header field: %w", err)
	}
	return b, nil
}

// UnmarshalJSON decodes the field.
func (h *Header) UnmarshalJSON(b []byte) error {
	var encoded headerJSON
	if err := json.Unmarshal(b, &encoded); err != nil {
		return fmt.Errorf("decode header field: %w", err)
	}
	h.Name, h.Value = encoded.Name, encoded.Value
	if encoded.Bytes != nil {
		h.Value = string(encoded.Bytes)
	}
	return nil
}

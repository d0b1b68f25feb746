package suspect

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"waxwingpick"
)

// Fingerprint identifies a request by its workspace, path and normalised body.
type Fingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string {
	return fmt.Sprintf("%016x", uint64(f))
}

// ParseFingerprint parses the output of Fingerprint.String.
func ParseFingerprint(text string) (Fingerprint, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 {
		return 0, eris.Errorf("fingerprint %q: want 16 hexadecimal digits", text)
	}
	return Fingerprint(value), nil
}

// MarshalText encodes the fingerprint as hexadecimal digits.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return []byte(f.String()), nil
}

// UnmarshalText decodes the fingerprint from hexadecimal digits.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	parsed, err := ParseFingerprint(string(text))
	if err != nil {
		return err
	}
	*f = parsed
	return nil
}

// Of returns the fingerprint of a request. The layout, member order and stream options of a JSON body are ignored.
func Of(workspace waxwingpick.WorkspaceID, path string, body []byte) Fingerprint {
	return sum([]byte(workspace), []byte(path), normalise(body))
}

// OfOpaque returns the fingerprint of a request whose body is opaque to this process.
func OfOpaque(method, host, uri string, body []byte) Fingerprint {
	return sum([]byte(method), []byte(host), []byte(uri), body)
}

func sum(parts ...[]byte) Fingerprint {
	h := xxhash.New()
	for _, part := range parts {
		_, _ = h.WriteString(strconv.Itoa(len(part)) + ":")
		_, _ = h.Write(part)
	}
	return Fingerprint(h.Sum64())
}

// normalise returns the body as canonical JSON, or unchanged if it is not JSON.
func normalise(body []byte) []byte {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return body
	}
	if _, err := decoder.Token(); err != io.EOF {
		return body
	}
	if object, ok := value.(map[string]any); ok {
		delete(object, "stream")
		delete(object, "stream_options")
	}
	canonical, err := json.Marshal(value)
	if err != nil {
		return body
	}
	return canonical
}

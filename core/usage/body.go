package usage

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

const (
	// settledKey is the key of the settled record in the store's first era.
	settledKey = "waxwingpick/usage/settled"
	// settledWindows is the number of windows in the settled record.
	settledWindows = RelevantWindows
	// maxRecordSize limits the settled record, in bytes.
	maxRecordSize = 900_000
	// maxBodySize limits a body, in bytes, so that a record with this body alone is within its limit.
	maxBodySize = maxRecordSize - 1_000
	// bodyOverhead is the maximum size of a body without its entries, and bodyEntryOverhead that of an entry without its
	// name, in bytes.
	bodyOverhead      = 64
	bodyEntryOverhead = 24
)

var (
	// ErrSettled is returned if another body is already settled for the window.
	ErrSettled = eris.New("window is settled with another body")
	// ErrWindowClosed is returned if the record no longer states whether the window was settled.
	ErrWindowClosed = eris.New("window is older than the settled record")
)

// report is the body of a usage report.
type report struct {
	Window Window `json:"window"`
	Counts Counts `json:"counts"`
}

// encodeBody returns the body of a report, with sorted keys and without workspaces that have no requests, and the
// number of workspaces that were dropped because of the limits.
func encodeBody(w Window, counts Counts) ([]byte, int, error) {
	kept := make(Counts, len(counts))
	dropped, size := 0, bodyOverhead
	for _, ws := range slices.Sorted(maps.Keys(counts)) {
		if counts[ws] == 0 {
			continue
		}
		entry, err := encodedSize(ws)
		if err != nil {
			return nil, 0, err
		}
		if len(kept) >= MaxWorkspaces || size+entry > maxBodySize {
			dropped++
			continue
		}
		kept[ws] = counts[ws]
		size += entry
	}
	body, err := json.Marshal(report{
		Window: w,
		Counts: kept,
	})
	if err != nil {
		return nil, 0, fmt.Errorf("encode usage report: %w", err)
	}
	return body, dropped, nil
}

// encodedSize returns an upper bound of the size of an entry. Escaped characters make a name longer.
func encodedSize(ws waxwingpick.WorkspaceID) (int, error) {
	name, err := json.Marshal(ws)
	if err != nil {
		return 0, fmt.Errorf("encode workspace: %w", err)
	}
	return len(name) + bodyEntryOverhead, nil
}

// SettledKey returns the key of the settled record in an era of the store. Each era has its own, since a store that
// returned from an older copy reissues revisions: a delayed write of an earlier era could otherwise meet its condition
// and replace the record. The entries of earlier eras are not read, for they may come from such a write.
func SettledKey(era int64) string {
	if era == 0 {
		return settledKey
	}
	return settledKey + "/" + strconv.FormatInt(era, 10)
}

// DecodeBody returns the counts of an encoded report.
func DecodeBody(body []byte) (Counts, error) {
	var r report
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("decode usage report: %w", err)
	}
	return r.Counts, nil
}

// SettledWindow is an entry of the settled record in the store.
type SettledWindow struct {
	Window Window `json:"window"`
	// Body is the report, kept byte for byte.
	Body json.RawMessage `json:"body"`
}

// DecodeSettled decodes the settled record, oldest window first. An empty value is an empty record.
func DecodeSettled(value []byte) ([]SettledWindow, error) {
	if len(value) == 0 {
		return nil, nil
	}
	if len(value) > maxRecordSize {
		return nil, eris.Errorf("settled record of %d bytes", len(value))
	}
	var list []SettledWindow
	if err := json.Unmarshal(value, &list); err != nil {
		return nil, fmt.Errorf("decode settled record: %w", err)
	}
	if len(list) > settledWindows {
		return nil, eris.Errorf("settled record of %d windows", len(list))
	}
	for i, s := range list {
		if i > 0 && s.Window <= list[i-1].Window {
			return nil, eris.Errorf("settled window %d out of order", s.Window)
		}
		var body report
		if err := json.Unmarshal(s.Body, &body); err != nil {
			return nil, fmt.Errorf("decode settled window %d: %w", s.Window, err)
		}
		if body.Window != s.Window {
			return nil, eris.Errorf("settled window %d has the body of %d", s.Window, body.Window)
		}
	}
	return list, nil
}

// EncodeSettled encodes the newest windows of the list that fit into the record.
func EncodeSettled(list []SettledWindow) []byte {
	list = slices.SortedFunc(slices.Values(list), func(a, b SettledWindow) int {
		return cmp.Compare(a.Window, b.Window)
	})
	list = list[max(0, len(list)-settledWindows):]
	for {
		// The bodies are copied by hand, since encoding/json would normalize their bytes.
		b := []byte{'['}
		for i, s := range list {
			if i > 0 {
				b = append(b, ',')
			}
			b = append(b, `{"window":`...)
			b = strconv.AppendInt(b, int64(s.Window), 10)
			b = append(b, `,"body":`...)
			b = append(b, s.Body...)
			b = append(b, '}')
		}
		b = append(b, ']')
		if len(b) <= maxRecordSize || len(list) == 0 {
			return b
		}
		list = list[1:]
	}
}

// PutSettled returns the record with the window added. A window older than all in the record is refused, since it may
// have been removed to make room.
func PutSettled(value []byte, add SettledWindow) ([]byte, error) {
	list, err := DecodeSettled(value)
	if err != nil {
		return nil, err
	}
	for _, s := range list {
		if s.Window != add.Window {
			continue
		}
		if !bytes.Equal(s.Body, add.Body) {
			return nil, ErrSettled
		}
		return value, nil
	}
	if len(list) > 0 && add.Window < list[0].Window {
		return nil, ErrWindowClosed
	}
	encoded := EncodeSettled(append(list, add))
	list, err = DecodeSettled(encoded)
	if err != nil {
		return nil, err
	}
	if !slices.ContainsFunc(list, func(s SettledWindow) bool { return s.Window == add.Window }) {
		return nil, ErrWindowClosed
	}
	return encoded, nil
}

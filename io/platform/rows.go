package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

const (
	// maxNameBytes bounds the ID of an instance.
	maxNameBytes = 200
	// maxErrorBytes bounds the decoder's part of an error, as it quotes numbers of any length.
	maxErrorBytes = 256
)

var (
	errNotAList = eris.New("not a list")
	errRow      = eris.New("invalid instance")
)

// decodeList decodes the rows of a list one by one, so that an invalid row costs only itself. skipped is called for each of
// these. decodeList fails if the rows cannot be told apart.
func decodeList(list []byte, skipped func(err error)) ([]waxwingpick.Instance, error) {
	rows, err := splitArray(list)
	if err != nil {
		return nil, err
	}
	instances := make([]waxwingpick.Instance, 0, len(rows))
	for n, row := range rows {
		var i waxwingpick.Instance
		if err := json.Unmarshal(row, &i); err != nil {
			skipped(fmt.Errorf("%w: row %d: %.*s", errRow, n, maxErrorBytes, err.Error()))
			continue
		}
		if err := check(i); err != nil {
			skipped(fmt.Errorf("row %d: %w", n, err))
			continue
		}
		instances = append(instances, i)
	}
	return instances, nil
}

// check returns an error if no process can be reached by what a row says.
func check(i waxwingpick.Instance) error {
	if i.ID == "" || len(i.ID) > maxNameBytes {
		return fmt.Errorf("%w: ID %.64q", errRow, i.ID)
	}
	for _, addr := range []string{i.Control, i.Data} {
		if addr == "" {
			continue
		}
		if at, err := netip.ParseAddrPort(addr); err != nil || at.Port() == 0 {
			return fmt.Errorf("%w: %.64q has address %.64q", errRow, i.ID, addr)
		}
	}
	return nil
}

// splitArray returns the elements of a JSON array without decoding them. encoding/json rejects a whole array for one element
// that is nested too deeply.
func splitArray(array []byte) ([]json.RawMessage, error) {
	array = bytes.TrimSpace(array)
	if len(array) < 2 || array[0] != '[' || array[len(array)-1] != ']' {
		return nil, fmt.Errorf("%w: %d bytes", errNotAList, len(array))
	}
	array = array[1 : len(array)-1]
	if len(bytes.TrimSpace(array)) == 0 {
		return nil, nil
	}
	var elements []json.RawMessage
	start, depth, quoted := 0, 0, false
	for n := 0; n < len(array); n++ {
		switch c := array[n]; {
		case quoted && c == '\\':
			n++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		case c == ',' && depth == 0:
			elements = append(elements, array[start:n])
			start = n + 1
		}
		if depth < 0 {
			break
		}
	}
	if depth != 0 || quoted {
		return nil, fmt.Errorf("%w: unbalanced", errNotAList)
	}
	return append(elements, array[start:]), nil
}

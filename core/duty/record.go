package duty

import (
	"encoding/json"
	"fmt"

	"waxwingpick"
)

// eraShift is the number of bits of a token that contain the revision.
const eraShift = 40

// Record is the value of the key.
type Record struct {
	Holder waxwingpick.InstanceID `json:"holder"`
	// Attempt is a random number that identifies the write.
	Attempt uint64 `json:"attempt"`
}

func encode(r Record) ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode duty record: %w", err)
	}
	return value, nil
}

// decode returns an empty record for an invalid value, which is nobody's.
func decode(value []byte) Record {
	var r Record
	if json.Unmarshal(value, &r) != nil {
		return Record{}
	}
	return r
}

// TokenOf returns the fencing token of the write that produced the entry.
func TokenOf(era, revision int64) int64 {
	return era<<eraShift | revision
}

package ledger

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	floorPath = KeyPrefix + "floor"
	// freshAge is the age up to which a key is surely above the floor, which lies at least defaultGrace back.
	freshAge = 15 * time.Minute
)

// floor is the record of the issue time below which claims have been removed. It keeps an older key
// refused after the retention was raised, and where the clocks of entries and sweepers differ.
type floor struct {
	Before time.Time `json:"before"`
}

func (f floor) encode() []byte {
	value, err := json.Marshal(f)
	if err != nil {
		panic(err) // A floor holds only a time.
	}
	return value
}

// decodeFloor returns the recorded floor, or the lowest where none is recorded.
func decodeFloor(value []byte) (floor, error) {
	var f floor
	if len(value) == 0 {
		return f, nil
	}
	if err := json.Unmarshal(value, &f); err != nil {
		return floor{}, fmt.Errorf("decode floor: %w", err)
	}
	return f, nil
}

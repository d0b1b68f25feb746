package ledger

import (
	"encoding/json"
	"fmt"
	"time"
)

const (
	minIssueTimePath = KeyPrefix + "floor"
	// maxUncheckedAge is the age up to which a key is certainly above the recorded minimum, which is at least defaultGrace
	// in the past.
	maxUncheckedAge = 15 * time.Minute
)

// minIssueTime records the issue time below which claims have been removed. With it, an older key stays refused after the
// retention was raised, and where the clocks of entries and sweepers differ.
type minIssueTime struct {
	Before time.Time `json:"before"`
}

func (f minIssueTime) encode() []byte {
	value, err := json.Marshal(f)
	if err != nil {
		panic(err) // Cannot fail: the record holds only a time.
	}
	return value
}

// decodeMinIssueTime returns the recorded minimum, or the zero time where none is recorded.
func decodeMinIssueTime(value []byte) (minIssueTime, error) {
	var f minIssueTime
	if len(value) == 0 {
		return f, nil
	}
	if err := json.Unmarshal(value, &f); err != nil {
		return minIssueTime{}, fmt.Errorf("decode minimum issue time: %w", err)
	}
	return f, nil
}

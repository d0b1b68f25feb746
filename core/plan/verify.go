package plan

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"waxwingpick"
)

// MaxRecordSize is the maximum size of an encoded plan in bytes.
const MaxRecordSize = 256 << 10

// Violation is the error for a plan record that violates a rule, so that no process may act on it.
type Violation struct {
	Service waxwingpick.ServiceName
	Target  waxwingpick.TargetID
	Rule    string
}

// Error describes the violation.
func (v *Violation) Error() string {
	if v.Target == "" {
		return fmt.Sprintf("plan of service %q: %s", v.Service, v.Rule)
	}
	return fmt.Sprintf("plan of service %q: target %q: %s", v.Service, v.Target, v.Rule)
}

// Encode returns the record as JSON. It fails if the result exceeds MaxRecordSize.
func Encode(rec Record) ([]byte, error) {
	data, err := json.Marshal(rec)
	if err != nil {
		return nil, fmt.Errorf("encode plan: %w", err)
	}
	if len(data) > MaxRecordSize {
		return nil, eris.Errorf("plan of service %q has %d bytes, more than %d", rec.Service, len(data), MaxRecordSize)
	}
	return data, nil
}

// Decode parses a record of the named service from JSON and checks it.
func Decode(service waxwingpick.ServiceName, data []byte) (Record, error) {
	var rec Record
	if err := json.Unmarshal(data, &rec); err != nil {
		return Record{}, fmt.Errorf("decode plan: %w", err)
	}
	if rec.Service != service {
		return Record{}, &Violation{
			Service: service,
			Rule:    fmt.Sprintf("the record names service %q", rec.Service),
		}
	}
	if err := Check(rec); err != nil {
		return Record{}, fmt.Errorf("check plan: %w", err)
	}
	return rec, nil
}

// Check checks the internal consistency of a record. It fails with a Violation.
func Check(rec Record) error {
	if rec.Revision < 1 || rec.Epoch < 1 || rec.NextOrder < 1 {
		return &Violation{
			Service: rec.Service,
			Rule:    "revision, epoch and next order must be positive",
		}
	}
	targets := make(map[waxwingpick.TargetID]struct{}, len(rec.Targets))
	orders := make(map[int64]struct{}, len(rec.Targets))
	for _, t := range rec.Targets {
		if rule := checkTarget(rec, t, targets, orders); rule != "" {
			return &Violation{
				Service: rec.Service,
				Target:  t.ID,
				Rule:    rule,
			}
		}
		targets[t.ID] = struct{}{}
		orders[t.Order.Number] = struct{}{}
	}
	return nil
}

func checkTarget(rec Record, t Target, targets map[waxwingpick.TargetID]struct{}, orders map[int64]struct{}) string {
	if _, ok := targets[t.ID]; ok {
		return "the target is listed twice"
	}
	if t.Order.Number < 0 || t.Order.Number >= rec.NextOrder {
		return "the order number is outside the numbers given so far"
	}
	if _, ok := orders[t.Order.Number]; ok && t.Order.Number > 0 {
		return "the order number belongs to another target"
	}
	return ""
}

// Verify checks whether a process that acted on the known record may act on a record read later. It fails with a
// Violation. There may be other revisions between the two records.
func Verify(known, read Record) error {
	if err := Check(read); err != nil {
		return fmt.Errorf("check plan: %w", err)
	}
	if rule := verifyHead(known, read); rule != "" {
		return &Violation{
			Service: read.Service,
			Rule:    rule,
		}
	}
	before := make(map[waxwingpick.TargetID]waxwingpick.EngineOrder, len(known.Targets))
	for _, t := range known.Targets {
		before[t.ID] = t.Order
	}
	for _, t := range read.Targets {
		old, ok := before[t.ID]
		if ok && !mayFollow(old, t.Order) {
			return &Violation{
				Service: read.Service,
				Target:  t.ID,
				Rule:    "the order number fell, or names another configuration than before",
			}
		}
		if !ok && t.Order.Number > 0 && t.Order.Number < known.NextOrder {
			return &Violation{
				Service: read.Service,
				Target:  t.ID,
				Rule:    "a new target has an old order number",
			}
		}
	}
	return nil
}

func verifyHead(known, read Record) string {
	switch {
	case known.Service != read.Service:
		return "the record belongs to another service"
	case read.Revision < known.Revision:
		return "the revision fell"
	case read.Epoch < known.Epoch:
		return "the epoch fell"
	case read.Epoch == known.Epoch && read.Holder != known.Holder:
		return "the holder changed within an epoch"
	case read.NextOrder < known.NextOrder:
		return "the next order number fell"
	case read.Revision == known.Revision && read.ChangeID != known.ChangeID:
		return "the revision names another change than before"
	}
	return ""
}

func mayFollow(old, next waxwingpick.EngineOrder) bool {
	if next.Number == old.Number {
		return next.Config == old.Config
	}
	return next.Number > old.Number
}

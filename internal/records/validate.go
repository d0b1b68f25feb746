package records

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"

	"github.com/rotisserie/eris"

	"waxwingpick"
	"waxwingpick/core/config"
	"waxwingpick/core/plan"
)

// decoded holds the records in the form that the accessors return.
type decoded struct {
	config         config.Record
	configRevision int64
	plans          map[waxwingpick.ServiceName]planRevision
}

type planRevision struct {
	record   plan.Record
	revision int64
}

// parsed is one decoded record. Exactly one field is set.
type parsed struct {
	config *config.Record
	plan   *plan.Record
}

// parser decodes and validates bodies. It caches the latest result of each key, because a body is decoded again
// immediately after its validation for the store.
type parser struct {
	mu     sync.Mutex
	bodies map[string][]byte
	latest map[string]parsed
}

func newParser() *parser {
	return &parser{
		bodies: make(map[string][]byte),
		latest: make(map[string]parsed),
	}
}

// validate returns an error for a body that is not a valid record of its key.
func (p *parser) validate(key string, body []byte) error {
	_, err := p.parse(key, body)
	return err
}

func (p *parser) parse(key string, body []byte) (parsed, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sameSlice(p.bodies[key], body) {
		return p.latest[key], nil
	}
	result, err := parse(key, body)
	if err != nil {
		return parsed{}, err
	}
	p.bodies[key] = body
	p.latest[key] = result
	return result, nil
}

// sameSlice reports whether two slices share the same memory. Bodies are never modified, so they are then equal.
func sameSlice(a, b []byte) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}

func parse(key string, body []byte) (parsed, error) {
	if key == config.Key {
		return parseConfig(body)
	}
	service, ok := strings.CutPrefix(key, plan.KeyPrefix)
	if !ok {
		return parsed{}, eris.Errorf("key %q does not belong to an exchanged record", key)
	}
	rec, err := plan.Decode(waxwingpick.ServiceName(service), body)
	if err != nil {
		return parsed{}, fmt.Errorf("plan: %w", err)
	}
	return parsed{
		plan: &rec,
	}, nil
}

func parseConfig(body []byte) (parsed, error) {
	var rec config.Record
	if err := json.Unmarshal(body, &rec); err != nil {
		return parsed{}, fmt.Errorf("decode configuration: %w", err)
	}
	if rec.Revision < 1 || !hasActivePreset(rec) {
		return parsed{}, eris.Errorf("configuration revision %d has no preset %q", rec.Revision, rec.InForce)
	}
	return parsed{
		config: &rec,
	}, nil
}

func hasActivePreset(rec config.Record) bool {
	found := 0
	for _, p := range rec.Presets {
		if p.Name == rec.InForce {
			found++
		}
	}
	return found == 1
}

// set stores a decoded record with its revision.
func (d *decoded) set(p parsed, revision int64) {
	if p.config != nil {
		d.config = *p.config
		d.configRevision = revision
		return
	}
	if d.plans == nil {
		d.plans = make(map[waxwingpick.ServiceName]planRevision)
	}
	d.plans[p.plan.Service] = planRevision{
		record:   *p.plan,
		revision: revision,
	}
}

// revision returns the revision of the decoded record of a key, or zero if there is none.
func (d *decoded) revision(key string) int64 {
	if key == config.Key {
		return d.configRevision
	}
	service := strings.TrimPrefix(key, plan.KeyPrefix)
	return d.plans[waxwingpick.ServiceName(service)].revision
}

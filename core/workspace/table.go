package workspace

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"waxwingpick"
)

// scheme is the authentication scheme of callers' keys. Schemes are not case-sensitive.
const scheme = "Bearer"

// idBytes is the number of bytes of a key's digest that identify it in logs.
const idBytes = 4

// Workspace is a workspace of a configuration.
type Workspace struct {
	ID waxwingpick.WorkspaceID
	// Priority is the scheduling priority of its requests; none if that of the route applies.
	Priority waxwingpick.Option[int]
}

// Keys is a workspace with the keys of its callers.
type Keys struct {
	Workspace Workspace
	Keys      []string
	// Digests are further keys, of which only the digests are known.
	Digests []Digest
}

// Verdict is the result of identifying a caller.
type Verdict uint8

// The results of identifying a caller.
const (
	// VerdictKnown means that the key belongs to one workspace.
	VerdictKnown Verdict = iota
	// VerdictMissing means that the request has no key.
	VerdictMissing
	// VerdictMalformed means that the request has several credentials, or one that is no key.
	VerdictMalformed
	// VerdictUnknown means that no workspace has the key.
	VerdictUnknown
	// VerdictAmbiguous means that several workspaces have the key.
	VerdictAmbiguous
)

// String returns the name used in logs and metrics.
func (v Verdict) String() string {
	switch v {
	case VerdictKnown:
		return "known"
	case VerdictMissing:
		return "missing"
	case VerdictMalformed:
		return "malformed"
	case VerdictUnknown:
		return "unknown"
	case VerdictAmbiguous:
		return "ambiguous"
	}
	return "invalid"
}

// Digest is the digest of a key.
type Digest [sha256.Size]byte

// ID returns the start of the digest, by which logs refer to a key.
func (d Digest) ID() string {
	return hex.EncodeToString(d[:idBytes])
}

// Caller is the result of a lookup.
type Caller struct {
	Verdict Verdict
	// Workspace is set if the verdict is VerdictKnown.
	Workspace Workspace
	// Key is the digest of the key; none if the request has no key.
	Key waxwingpick.Option[Digest]
}

// entry is what the table holds for a key.
type entry struct {
	workspace int32
	ambiguous bool
}

// Table maps the keys of a configuration to workspaces. It is immutable and holds no keys, only their digests.
type Table struct {
	workspaces []Workspace
	byDigest   map[Digest]entry
	ambiguous  int
}

// New returns the Table of a configuration. A key of several workspaces identifies none of them.
func New(workspaces []Keys) *Table {
	keys := 0
	for _, w := range workspaces {
		keys += len(w.Keys) + len(w.Digests)
	}
	t := &Table{
		workspaces: make([]Workspace, 0, len(workspaces)),
		byDigest:   make(map[Digest]entry, keys),
	}
	for _, w := range workspaces {
		index := int32(len(t.workspaces))
		t.workspaces = append(t.workspaces, w.Workspace)
		for _, key := range w.Keys {
			if key != "" {
				t.add(DigestOf(key), index)
			}
		}
		for _, digest := range w.Digests {
			t.add(digest, index)
		}
	}
	return t
}

// add maps a key to a workspace.
func (t *Table) add(digest Digest, index int32) {
	known, ok := t.byDigest[digest]
	switch {
	case !ok:
		t.byDigest[digest] = entry{
			workspace: index,
		}
	case !known.ambiguous && t.workspaces[known.workspace].ID != t.workspaces[index].ID:
		known.ambiguous = true
		t.byDigest[digest] = known
		t.ambiguous++
	}
}

// Len returns the number of workspaces.
func (t *Table) Len() int { return len(t.workspaces) }

// Keys returns the number of distinct keys.
func (t *Table) Keys() int { return len(t.byDigest) }

// Ambiguous returns the number of keys that several workspaces have.
func (t *Table) Ambiguous() int { return t.ambiguous }

// Identify returns the caller of a request with the given values of its Authorization field.
func (t *Table) Identify(authorization []string) Caller {
	key, verdict := keyOf(authorization)
	if verdict != VerdictKnown {
		return Caller{
			Verdict: verdict,
		}
	}
	// The time of a lookup by digest does not depend on how much of a key matches another one.
	c := Caller{
		Verdict: VerdictUnknown,
	}
	digest := DigestOf(key)
	c.Key = waxwingpick.Some(digest)
	switch known, ok := t.byDigest[digest]; {
	case !ok:
	case known.ambiguous:
		c.Verdict = VerdictAmbiguous
	default:
		c.Verdict = VerdictKnown
		c.Workspace = t.workspaces[known.workspace]
	}
	return c
}

// keyOf returns the key in the values of an Authorization field.
func keyOf(authorization []string) (string, Verdict) {
	switch len(authorization) {
	case 0:
		return "", VerdictMissing
	case 1:
	default:
		return "", VerdictMalformed
	}
	value := strings.Trim(authorization[0], " \t")
	if value == "" {
		return "", VerdictMissing
	}
	name, rest, ok := strings.Cut(value, " ")
	key := strings.TrimLeft(rest, " ")
	if !ok || key == "" || !strings.EqualFold(name, scheme) || strings.ContainsAny(key, " \t") {
		return "", VerdictMalformed
	}
	return key, VerdictKnown
}

// usualKeyBytes is the length of keys up to which a lookup allocates nothing.
const usualKeyBytes = 128

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	var usual [usualKeyBytes]byte
	if len(key) > len(usual) {
		return sha256.Sum256([]byte(key))
	}
	return sha256.Sum256(usual[:copy(usual[:], key)])
}

package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"waxwingpick"
)

// CandidateKind is what requests may have in common that crashes targets.
type CandidateKind uint8

// The kinds of candidates.
const (
	// CandidateRequest is a whole request, which comes again unchanged.
	CandidateRequest CandidateKind = iota + 1
	// CandidatePart is a part of a prompt, at any place.
	CandidatePart
)

// maxCandidateParts bounds the prompt parts of one request that are candidates.
const maxCandidateParts = 16

// String returns the name used in logs.
func (k CandidateKind) String() string {
	switch k {
	case CandidateRequest:
		return "request"
	case CandidatePart:
		return "promptPart"
	}
	return "unknown"
}

// Candidate identifies a possible cause of crashes, equally in every process.
type Candidate struct {
	kind CandidateKind
	sum  uint64
}

// NewCandidate returns a candidate that another process has sent. It returns false for an unknown kind.
func NewCandidate(kind CandidateKind, sum uint64) (Candidate, bool) {
	c := Candidate{
		kind: kind,
		sum:  sum,
	}
	return c, kind == CandidateRequest || kind == CandidatePart
}

// RequestCandidate returns the candidate of a whole request.
func RequestCandidate(f Fingerprint) Candidate {
	return Candidate{
		kind: CandidateRequest,
		sum:  uint64(f),
	}
}

// PartCandidate returns the candidate of a prompt part. Its hash is cryptographic, so that a caller cannot name a part
// that counts as another one.
func PartCandidate(id string) Candidate {
	sum := sha256.Sum256([]byte(id))
	return Candidate{
		kind: CandidatePart,
		sum:  binary.BigEndian.Uint64(sum[:]),
	}
}

// CandidatesOf returns the candidates of a request by the parts of its prompt, each once. The first one is the
// request itself, which stands for the last part too: that one is the request's own.
func CandidatesOf(f Fingerprint, prompt waxwingpick.Prompt) []Candidate {
	shared := prompt.Parts[:min(max(0, len(prompt.Parts)-1), maxCandidateParts)]
	all := make([]Candidate, 0, 1+len(shared))
	all = append(all, RequestCandidate(f))
	seen := waxwingpick.NewSet[string]()
	for _, part := range shared {
		if !seen.Has(part.ID) {
			seen.Add(part.ID)
			all = append(all, PartCandidate(part.ID))
		}
	}
	return all
}

// Kind returns the kind of the candidate.
func (c Candidate) Kind() CandidateKind { return c.kind }

// Sum returns the hash that identifies the candidate among those of its kind.
func (c Candidate) Sum() uint64 { return c.sum }

// String returns the kind and the hash as 16 hexadecimal digits.
func (c Candidate) String() string {
	return fmt.Sprintf("%s %016x", c.kind, c.sum)
}

package sidecar

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"waxwingpick"
)

// ErrNoBase says that a probe was answered by changes to a report that the prober does not hold.
var ErrNoBase = eris.New("changes to a report that is not held")

// ProbeRequest asks for a report.
type ProbeRequest struct {
	// SuspectsSum is the hash over the crash suspects that the sender knows.
	SuspectsSum uint64 `json:"suspectsSum,string"`
	// RecordsSum is the hash over the revisions of the records that the sender holds.
	RecordsSum uint64 `json:"recordsSum,string"`
	// Known is the Sum of the report that the sender holds; zero asks for a whole report.
	Known uint64 `json:"known,string,omitempty"`
}

// ProbeResponse is the answer to a probe: a whole report, or the readings alone where the rest is as the sender knows.
type ProbeResponse struct {
	Report   *Report   `json:"report,omitempty"`
	Readings *Readings `json:"readings,omitempty"`
	// SuspectsSum is the hash over the crash suspects that the sidecar knows, nil where it is the sender's; where it
	// differs, both exchange what they know by SuspectsMessage.
	SuspectsSum *uint64 `json:"suspectsSum,string,omitempty"`
	// RecordsSum is the hash over the revisions of the records that the sidecar holds, nil where it is the sender's.
	RecordsSum *uint64 `json:"recordsSum,string,omitempty"`
}

// Answer returns the answer to a probe by a sidecar with a report and the hashes over its suspects and records.
func (req ProbeRequest) Answer(r Report, suspectsSum, recordsSum uint64) ProbeResponse {
	if req.Known != 0 && req.Known == r.Sum() {
		readings := r.readings()
		return ProbeResponse{
			Readings:    &readings,
			SuspectsSum: unlessEqual(suspectsSum, req.SuspectsSum),
			RecordsSum:  unlessEqual(recordsSum, req.RecordsSum),
		}
	}
	// A sender that tells no report that it knows may not know either that a missing hash is its own.
	return ProbeResponse{
		Report:      &r,
		SuspectsSum: &suspectsSum,
		RecordsSum:  &recordsSum,
	}
}

func unlessEqual(sum, known uint64) *uint64 {
	if sum == known {
		return nil
	}
	return &sum
}

// Decode returns the report of an answer to the request; base is the report whose Sum the request told.
func (resp ProbeResponse) Decode(req ProbeRequest, base Report) (Report, error) {
	if resp.Report != nil {
		return *resp.Report, nil
	}
	if resp.Readings == nil || req.Known == 0 || base.Sum() != req.Known {
		return Report{}, ErrNoBase
	}
	return base.with(*resp.Readings), nil
}

// Suspects returns the hash over the suspects that the sidecar knows.
func (resp ProbeResponse) Suspects(req ProbeRequest) uint64 {
	return orEqual(resp.SuspectsSum, req.SuspectsSum)
}

// Records returns the hash over the records that the sidecar holds.
func (resp ProbeResponse) Records(req ProbeRequest) uint64 {
	return orEqual(resp.RecordsSum, req.RecordsSum)
}

func orEqual(sum *uint64, known uint64) uint64 {
	if sum == nil {
		return known
	}
	return *sum
}

// Sum is the hash over all of a report but its readings; it is never zero.
func (r Report) Sum() uint64 {
	standing := make([]byte, 0, standingSize)
	for _, text := range []string{
		string(r.Target),
		r.Incarnation,
		r.Active.Role.String(),
		r.Active.Model,
		r.Active.Adapter,
		r.Active.Version,
		r.Totals.Process,
	} {
		standing = binary.AppendUvarint(standing, uint64(len(text)))
		standing = append(standing, text...)
	}
	standing = binary.AppendVarint(standing, r.ConfigRevision)
	standing = binary.AppendVarint(standing, int64(r.Load.PiecesTotal))
	standing = strconv.AppendBool(standing, r.Load.Leaving)
	return max(1, xxhash.Sum64(standing))
}

// standingSize has room for the standing part of most reports, in bytes.
const standingSize = 256

// Readings are the figures of a report that change all the time, in a fixed order.
type Readings [readings]int64

const (
	readingRunning = iota
	readingQueued
	readingSlots
	readingPrefillTokens
	readingQuickPrefillTokens
	readingPiecesUsed
	readingQuickWaitMillis
	readingLongWaitMillis
	readingPrefillTokensPerSecond
	readingTokenIntervalMicros
	readingAgeMillis
	readingTotalRequests
	readingTotalPrefillTokens
	readingTotalDecodeTokens
	readings
)

// UnmarshalJSON takes exactly the figures that this version knows.
func (r *Readings) UnmarshalJSON(data []byte) error {
	var figures []int64
	if err := json.Unmarshal(data, &figures); err != nil {
		return fmt.Errorf("decode readings: %w", err)
	}
	if len(figures) != readings {
		return eris.Errorf("%d readings in place of %d", len(figures), readings)
	}
	copy(r[:], figures)
	return nil
}

// readings returns the report's readings, with the prefill rate in whole tokens.
func (r Report) readings() Readings {
	return Readings{
		readingRunning:                int64(r.Load.Running),
		readingQueued:                 int64(r.Load.Queued),
		readingSlots:                  int64(r.Load.Slots),
		readingPrefillTokens:          int64(r.Load.PrefillTokens),
		readingQuickPrefillTokens:     int64(r.Load.QuickPrefillTokens),
		readingPiecesUsed:             int64(r.Load.PiecesUsed),
		readingQuickWaitMillis:        r.Load.QuickWaitMillis,
		readingLongWaitMillis:         r.Load.LongWaitMillis,
		readingPrefillTokensPerSecond: int64(math.Ceil(r.Load.PrefillTokensPerSecond)),
		readingTokenIntervalMicros:    r.Load.TokenIntervalMicros,
		readingAgeMillis:              r.Load.AgeMillis,
		readingTotalRequests:          r.Totals.Requests,
		readingTotalPrefillTokens:     r.Totals.PrefillTokens,
		readingTotalDecodeTokens:      r.Totals.DecodeTokens,
	}
}

// with returns the report with other readings.
func (r Report) with(f Readings) Report {
	r.Load = waxwingpick.TargetLoad{
		Running:                int(f[readingRunning]),
		Queued:                 int(f[readingQueued]),
		Slots:                  int(f[readingSlots]),
		PrefillTokens:          int(f[readingPrefillTokens]),
		QuickPrefillTokens:     int(f[readingQuickPrefillTokens]),
		PiecesUsed:             int(f[readingPiecesUsed]),
		PiecesTotal:            r.Load.PiecesTotal,
		QuickWaitMillis:        f[readingQuickWaitMillis],
		LongWaitMillis:         f[readingLongWaitMillis],
		PrefillTokensPerSecond: float64(f[readingPrefillTokensPerSecond]),
		TokenIntervalMicros:    f[readingTokenIntervalMicros],
		AgeMillis:              f[readingAgeMillis],
		Leaving:                r.Load.Leaving,
	}
	r.Totals.Requests = f[readingTotalRequests]
	r.Totals.PrefillTokens = f[readingTotalPrefillTokens]
	r.Totals.DecodeTokens = f[readingTotalDecodeTokens]
	return r
}

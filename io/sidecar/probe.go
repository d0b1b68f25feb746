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

// ErrNoBase means that the response to a probe refers to a report that the prober does not hold.
var ErrNoBase = eris.New("probe response refers to an unknown report")

// ProbeRequest requests a report from a sidecar.
type ProbeRequest struct {
	// SuspectsSum is the hash of the crash suspects that the sender holds.
	SuspectsSum uint64 `json:"suspectsSum,string"`
	// RecordsSum is the hash of the revisions of the records that the sender holds.
	RecordsSum uint64 `json:"recordsSum,string"`
	// BaseSum is the Sum of the report that the sender holds. Zero requests a complete report.
	BaseSum uint64 `json:"known,string,omitempty"`
}

// ProbeResponse is the response to a probe. It holds a complete report, or only the readings if the rest of the report
// is the one that the sender holds.
type ProbeResponse struct {
	Report   *Report   `json:"report,omitempty"`
	Readings *Readings `json:"readings,omitempty"`
	// SuspectsSum is the hash of the crash suspects that the sidecar holds, or nil if it equals the sender's. If the
	// hashes differ, both processes exchange their suspects in a SuspectsMessage.
	SuspectsSum *uint64 `json:"suspectsSum,string,omitempty"`
	// RecordsSum is the hash of the revisions of the records that the sidecar holds, or nil if it equals the sender's.
	RecordsSum *uint64 `json:"recordsSum,string,omitempty"`
}

// Response returns the response of a sidecar with the report and the hashes of its suspects and records.
func (req ProbeRequest) Response(r Report, suspectsSum, recordsSum uint64) ProbeResponse {
	if req.BaseSum != 0 && req.BaseSum == r.Sum() {
		readings := r.readings()
		return ProbeResponse{
			Readings:    &readings,
			SuspectsSum: nilIfEqual(suspectsSum, req.SuspectsSum),
			RecordsSum:  nilIfEqual(recordsSum, req.RecordsSum),
		}
	}
	// A sender that sets no BaseSum may not support omitted hashes, so a complete report is sent with both.
	return ProbeResponse{
		Report:      &r,
		SuspectsSum: &suspectsSum,
		RecordsSum:  &recordsSum,
	}
}

func nilIfEqual(sum, other uint64) *uint64 {
	if sum == other {
		return nil
	}
	return &sum
}

// Decode returns the report in the response to req. base is the report whose Sum is req.BaseSum. Decode fails with
// ErrNoBase if the response holds only readings and base is another report.
func (resp ProbeResponse) Decode(req ProbeRequest, base Report) (Report, error) {
	if resp.Report != nil {
		return *resp.Report, nil
	}
	if resp.Readings == nil || req.BaseSum == 0 || base.Sum() != req.BaseSum {
		return Report{}, ErrNoBase
	}
	return base.withReadings(*resp.Readings), nil
}

// Suspects returns the hash of the crash suspects that the sidecar holds.
func (resp ProbeResponse) Suspects(req ProbeRequest) uint64 {
	return valueOr(resp.SuspectsSum, req.SuspectsSum)
}

// Records returns the hash of the revisions of the records that the sidecar holds.
func (resp ProbeResponse) Records(req ProbeRequest) uint64 {
	return valueOr(resp.RecordsSum, req.RecordsSum)
}

func valueOr(sum *uint64, other uint64) uint64 {
	if sum == nil {
		return other
	}
	return *sum
}

// Sum returns a hash of the report without its readings. It is never zero.
func (r Report) Sum() uint64 {
	stable := make([]byte, 0, stableSize)
	for _, text := range []string{
		string(r.Target),
		r.Incarnation,
		r.Active.Role.String(),
		r.Active.Model,
		r.Active.Adapter,
		r.Active.Version,
		r.Totals.Process,
	} {
		stable = binary.AppendUvarint(stable, uint64(len(text)))
		stable = append(stable, text...)
	}
	stable = binary.AppendVarint(stable, r.ConfigRevision)
	stable = binary.AppendVarint(stable, int64(r.Load.KVBlocksTotal))
	stable = strconv.AppendBool(stable, r.Load.Leaving)
	return max(1, xxhash.Sum64(stable))
}

// stableSize is the initial buffer size for the hashed part of a report, in bytes. It suffices for most reports.
const stableSize = 256

// Readings are the values of a report that change continuously, in a fixed order.
type Readings [readingCount]int64

const (
	readingRunning = iota
	readingQueued
	readingSlots
	readingPrefillTokens
	readingQuickPrefillTokens
	readingKVBlocksUsed
	readingQuickWaitMillis
	readingLongWaitMillis
	readingPrefillTokensPerSecond
	readingTokenIntervalMicros
	readingAgeMillis
	readingTotalRequests
	readingTotalPrefillTokens
	readingTotalDecodeTokens
	readingCount
)

// UnmarshalJSON decodes a list of readings. It fails if their number differs from the number in this version.
func (r *Readings) UnmarshalJSON(data []byte) error {
	var values []int64
	if err := json.Unmarshal(data, &values); err != nil {
		return fmt.Errorf("decode readings: %w", err)
	}
	if len(values) != readingCount {
		return eris.Errorf("got %d readings instead of %d", len(values), readingCount)
	}
	copy(r[:], values)
	return nil
}

// readings returns the report's readings. The prefill rate is rounded up to whole tokens per second.
func (r Report) readings() Readings {
	return Readings{
		readingRunning:                int64(r.Load.Running),
		readingQueued:                 int64(r.Load.Queued),
		readingSlots:                  int64(r.Load.Slots),
		readingPrefillTokens:          int64(r.Load.PrefillTokens),
		readingQuickPrefillTokens:     int64(r.Load.QuickPrefillTokens),
		readingKVBlocksUsed:           int64(r.Load.KVBlocksUsed),
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

// withReadings returns the report with its readings replaced.
func (r Report) withReadings(values Readings) Report {
	r.Load = waxwingpick.TargetLoad{
		Running:                int(values[readingRunning]),
		Queued:                 int(values[readingQueued]),
		Slots:                  int(values[readingSlots]),
		PrefillTokens:          int(values[readingPrefillTokens]),
		QuickPrefillTokens:     int(values[readingQuickPrefillTokens]),
		KVBlocksUsed:           int(values[readingKVBlocksUsed]),
		KVBlocksTotal:          r.Load.KVBlocksTotal,
		QuickWaitMillis:        values[readingQuickWaitMillis],
		LongWaitMillis:         values[readingLongWaitMillis],
		PrefillTokensPerSecond: float64(values[readingPrefillTokensPerSecond]),
		TokenIntervalMicros:    values[readingTokenIntervalMicros],
		AgeMillis:              values[readingAgeMillis],
		Leaving:                r.Load.Leaving,
	}
	r.Totals.Requests = values[readingTotalRequests]
	r.Totals.PrefillTokens = values[readingTotalPrefillTokens]
	r.Totals.DecodeTokens = values[readingTotalDecodeTokens]
	return r
}

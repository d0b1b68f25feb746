package gateway

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"waxwingpick"
	"waxwingpick/core/sendgate"
)

// The first bytes of messages about statements. A summary is a CBOR array instead.
const (
	reportsKind       = 0x02
	tokenRequestKind  = 0x03
	tokenResponseKind = 0x04
)

// maxReportAge bounds the age that a received report may state.
const maxReportAge = time.Hour

var _ statementPeers = (*gossip)(nil)

// reportsMessage carries the statements of targets to another gateway.
type reportsMessage struct {
	_       struct{} `cbor:",toarray"`
	From    waxwingpick.InstanceID
	Reports []statementReport
}

// tokenRequestMessage requests tokens from the owner of a limit.
type tokenRequestMessage struct {
	_      struct{} `cbor:",toarray"`
	From   waxwingpick.InstanceID
	Number uint64
	Tokens int
	Report statementReport
}

// tokenResponseMessage is the response to a tokenRequestMessage.
type tokenResponseMessage struct {
	_          struct{} `cbor:",toarray"`
	From       waxwingpick.InstanceID
	Number     uint64
	Target     waxwingpick.TargetID
	Tokens     int
	WaitMillis int64
	Owner      waxwingpick.InstanceID
}

// statementReport is the encoding of a report.
type statementReport struct {
	_      struct{} `cbor:",toarray"`
	Target waxwingpick.TargetID
	Start  int64
	// Limit is nil if the target has withdrawn its limit, and LimitAgeMillis nil if it never stated one.
	Limit          *float64
	LimitAgeMillis *int64
	// LeaveAgeMillis is nil if the target does not leave.
	LeaveAgeMillis *int64
}

func encodeReport(r sendgate.Report) statementReport {
	encoded := statementReport{
		Target:         r.Target,
		Start:          r.StartUnixMillis,
		LimitAgeMillis: encodeAge(r.LimitAge),
		LeaveAgeMillis: encodeAge(r.LeaveAge),
	}
	if limit, ok := r.Limit.Get(); ok {
		encoded.Limit = &limit
	}
	return encoded
}

func encodeAge(age waxwingpick.Option[time.Duration]) *int64 {
	d, ok := age.Get()
	if !ok {
		return nil
	}
	millis := d.Milliseconds()
	return &millis
}

// decode returns the report, or false if its limit is out of range.
func (r statementReport) decode() (sendgate.Report, bool) {
	report := sendgate.Report{
		Target:          r.Target,
		StartUnixMillis: r.Start,
		LimitAge:        decodeAge(r.LimitAgeMillis),
		LeaveAge:        decodeAge(r.LeaveAgeMillis),
	}
	if r.Limit != nil {
		if !(*r.Limit >= 0) || math.IsInf(*r.Limit, 0) {
			return report, false
		}
		report.Limit = waxwingpick.Some(*r.Limit)
	}
	return report, true
}

func decodeAge(millis *int64) waxwingpick.Option[time.Duration] {
	if millis == nil {
		return waxwingpick.None[time.Duration]()
	}
	return waxwingpick.Some(time.Duration(max(0, min(*millis, maxReportAge.Milliseconds()))) * time.Millisecond)
}

// sendReports sends statements to all gateways of a small fleet, or to some gateways of a larger one.
func (g *gossip) sendReports(reports []sendgate.Report) {
	m := reportsMessage{
		From: g.process.options.Instance,
	}
	for _, r := range reports {
		m.Reports = append(m.Reports, encodeReport(r))
	}
	receivers := g.peers.all()
	if len(receivers) >= smallFleet {
		rand.Shuffle(len(receivers), func(i, j int) { receivers[i], receivers[j] = receivers[j], receivers[i] })
		receivers = receivers[:statementsFanOut]
	}
	g.sendKind(reportsKind, m, receivers...)
}

// sendTokenRequest sends a token request to a gateway. It returns false if the gateway is not listed.
func (g *gossip) sendTokenRequest(number uint64, a sendgate.TokenRequest) bool {
	addr, ok := g.peers.addrOf(a.To).Get()
	if ok {
		g.sendKind(tokenRequestKind, tokenRequestMessage{
			From:   g.process.options.Instance,
			Number: number,
			Tokens: a.Tokens,
			Report: encodeReport(a.Report),
		}, addr)
	}
	return ok
}

// receiveStatements handles a message about statements. It returns false for a message of another kind.
func (g *gossip) receiveStatements(now time.Time, kind byte, encoded []byte) bool {
	var err error
	switch kind {
	case reportsKind:
		err = receiveAs(encoded, func(m reportsMessage) { g.receiveReports(now, m) })
	case tokenRequestKind:
		err = receiveAs(encoded, func(m tokenRequestMessage) { g.receiveTokenRequest(now, m) })
	case tokenResponseKind:
		err = receiveAs(encoded, func(m tokenResponseMessage) { g.receiveTokenResponse(now, m) })
	default:
		return false
	}
	if err != nil {
		g.process.log.WithField("error", err.Error()).Debug("statements rejected")
	}
	return true
}

func receiveAs[T any](encoded []byte, handle func(m T)) error {
	var m T
	if err := cbor.Unmarshal(encoded, &m); err != nil {
		return err
	}
	handle(m)
	return nil
}

// foreign reports whether a message comes from another gateway.
func (g *gossip) foreign(from waxwingpick.InstanceID) bool {
	return from != "" && from != g.process.options.Instance
}

func (g *gossip) receiveReports(now time.Time, m reportsMessage) {
	if !g.foreign(m.From) {
		return
	}
	var reports []sendgate.Report
	for _, r := range m.Reports[:min(len(m.Reports), sendgate.MaxReports)] {
		if report, ok := r.decode(); ok {
			reports = append(reports, report)
		}
	}
	g.process.statements.apply(now, m.From, reports)
}

func (g *gossip) receiveTokenRequest(now time.Time, m tokenRequestMessage) {
	report, ok := m.Report.decode()
	if !ok || !g.foreign(m.From) {
		return
	}
	addr, listed := g.peers.addrOf(m.From).Get()
	if !listed {
		return
	}
	response := g.process.statements.tokenRequest(now, m.From, sendgate.TokenRequest{
		To:     g.process.options.Instance,
		Report: report,
		Tokens: m.Tokens,
	})
	g.sendKind(tokenResponseKind, tokenResponseMessage{
		From:       g.process.options.Instance,
		Number:     m.Number,
		Target:     response.Target,
		Tokens:     response.Tokens,
		WaitMillis: response.Wait.Milliseconds(),
		Owner:      response.Owner,
	}, addr)
}

func (g *gossip) receiveTokenResponse(now time.Time, m tokenResponseMessage) {
	if !g.foreign(m.From) {
		return
	}
	g.process.statements.tokenResponse(now, m.From, m.Number, sendgate.TokenResponse{
		Target: m.Target,
		Tokens: m.Tokens,
		Wait:   time.Duration(max(0, min(m.WaitMillis, maxReportAge.Milliseconds()))) * time.Millisecond,
		Owner:  m.Owner,
	})
}

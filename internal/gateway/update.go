package gateway

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"
	"github.com/rotisserie/eris"

	"waxwingpick"
	"waxwingpick/core/feed"
	"waxwingpick/io/udp"
)

const (
	// updateKind is the first byte of an update. A summary begins with a CBOR array instead.
	updateKind = 0x01
	// maxUpdateBytes bounds an update before compression.
	maxUpdateBytes = 1 << 20
	// noRecovery is the ReturnedMillis or EraMillis of an update without a recent outage or new era of the key-value service.
	noRecovery = -1
)

// errUpdate is returned for an update that cannot be decoded.
var errUpdate = eris.New("invalid update message")

// updateMessage is the update that a gateway that reads changes sends to those of its availability zone.
type updateMessage struct {
	_              struct{} `cbor:",toarray"`
	From           waxwingpick.InstanceID
	Zone           waxwingpick.AvailabilityZone
	Touch          bool
	Era            int64
	EraMillis      int64
	Base           int64
	Revision       int64
	ReturnedMillis int64
	Changes        []changeMessage
}

type changeMessage struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision int64
	Removed  bool
}

// encodeUpdate encodes an update. One that would exceed a datagram is sent without its changes, so that the receivers
// read them from the service.
func encodeUpdate(n feed.Update) ([]byte, error) {
	m := updateMessage{
		From:           n.From,
		Zone:           n.Zone,
		Touch:          n.ServiceReachable,
		Era:            n.Era,
		Base:           n.Base,
		Revision:       n.Revision,
		ReturnedMillis: noRecovery,
		EraMillis:      noRecovery,
	}
	if ago, ok := n.SinceRecovery.Get(); ok {
		m.ReturnedMillis = ago.Milliseconds()
	}
	if ago, ok := n.SinceEra.Get(); ok {
		m.EraMillis = ago.Milliseconds()
	}
	for _, c := range n.Changes {
		m.Changes = append(m.Changes, changeMessage{
			Key:      c.Key,
			Value:    c.Value,
			Revision: c.Revision,
			Removed:  c.Removed,
		})
	}
	for {
		plain, err := cbor.Marshal(m)
		if err != nil {
			return nil, fmt.Errorf("encode update: %w", err)
		}
		if message := append([]byte{updateKind}, s2.Encode(nil, plain)...); len(message) <= udp.MaxMessage && len(plain) <= maxUpdateBytes {
			return message, nil
		}
		m.Changes = nil
		m.Base = m.Revision
	}
}

// decodeUpdate decodes an untrusted message within size limits.
func decodeUpdate(message []byte) (feed.Update, error) {
	if len(message) == 0 || message[0] != updateKind {
		return feed.Update{}, errUpdate
	}
	size, err := s2.DecodedLen(message[1:])
	if err != nil || size > maxUpdateBytes {
		return feed.Update{}, fmt.Errorf("%w: %d bytes", errUpdate, size)
	}
	plain, err := s2.Decode(nil, message[1:])
	if err != nil {
		return feed.Update{}, fmt.Errorf("%w: %w", errUpdate, err)
	}
	var m updateMessage
	if err := cbor.Unmarshal(plain, &m); err != nil {
		return feed.Update{}, fmt.Errorf("%w: %w", errUpdate, err)
	}
	n := feed.Update{
		From:             m.From,
		Zone:             m.Zone,
		ServiceReachable: m.Touch,
		Era:              m.Era,
		Base:             m.Base,
		Revision:         m.Revision,
	}
	n.SinceRecovery = recoveryOf(m.ReturnedMillis)
	n.SinceEra = recoveryOf(m.EraMillis)
	for _, c := range m.Changes {
		n.Changes = append(n.Changes, waxwingpick.KeyChange{
			Entry: waxwingpick.Entry{
				Key:      c.Key,
				Value:    c.Value,
				Revision: c.Revision,
				Era:      m.Era,
			},
			Removed: c.Removed,
		})
	}
	return n, nil
}

// recoveryOf decodes the time since a recovery; none if the message has none or a time that is not recent.
func recoveryOf(millis int64) waxwingpick.Option[time.Duration] {
	if millis < 0 || millis >= time.Minute.Milliseconds() {
		return waxwingpick.None[time.Duration]()
	}
	return waxwingpick.Some(time.Duration(millis) * time.Millisecond)
}

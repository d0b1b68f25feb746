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
	// newsKind is the first byte of a message with news; that of a summary is an array in CBOR.
	newsKind = 0x01
	// mostNews bounds a message with news, in bytes before compression.
	mostNews = 1 << 20
	// notReturned stands for an outage of the key-value service that is long over, or was none.
	notReturned = -1
)

// errNews says that a message with news can't be read.
var errNews = eris.New("message with news can't be read")

// newsMessage is what a gateway that reads changes tells those of its availability zone.
type newsMessage struct {
	_              struct{} `cbor:",toarray"`
	From           waxwingpick.InstanceID
	Zone           waxwingpick.AvailabilityZone
	Touch          bool
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

// encodeNews encodes a message. One that would be too large for a datagram has no changes, so that its receivers read them
// from the service.
func encodeNews(n feed.News) ([]byte, error) {
	m := newsMessage{
		From:           n.From,
		Zone:           n.Zone,
		Touch:          n.Touch,
		Base:           n.Base,
		Revision:       n.Revision,
		ReturnedMillis: notReturned,
	}
	if ago, ok := n.Returned.Get(); ok {
		m.ReturnedMillis = ago.Milliseconds()
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
			return nil, fmt.Errorf("encode news: %w", err)
		}
		if message := append([]byte{newsKind}, s2.Encode(nil, plain)...); len(message) <= udp.MaxMessage && len(plain) <= mostNews {
			return message, nil
		}
		m.Changes = nil
		m.Base = m.Revision
	}
}

// decodeNews reads a message of anybody, within bounds.
func decodeNews(message []byte) (feed.News, error) {
	if len(message) == 0 || message[0] != newsKind {
		return feed.News{}, errNews
	}
	size, err := s2.DecodedLen(message[1:])
	if err != nil || size > mostNews {
		return feed.News{}, fmt.Errorf("%w: %d bytes", errNews, size)
	}
	plain, err := s2.Decode(nil, message[1:])
	if err != nil {
		return feed.News{}, fmt.Errorf("%w: %w", errNews, err)
	}
	var m newsMessage
	if err := cbor.Unmarshal(plain, &m); err != nil {
		return feed.News{}, fmt.Errorf("%w: %w", errNews, err)
	}
	n := feed.News{
		From:     m.From,
		Zone:     m.Zone,
		Touch:    m.Touch,
		Base:     m.Base,
		Revision: m.Revision,
	}
	if m.ReturnedMillis >= 0 && m.ReturnedMillis < time.Minute.Milliseconds() {
		n.Returned = waxwingpick.Some(time.Duration(m.ReturnedMillis) * time.Millisecond)
	}
	for _, c := range m.Changes {
		n.Changes = append(n.Changes, waxwingpick.KeyChange{
			Entry: waxwingpick.Entry{
				Key:      c.Key,
				Value:    c.Value,
				Revision: c.Revision,
			},
			Removed: c.Removed,
		})
	}
	return n, nil
}

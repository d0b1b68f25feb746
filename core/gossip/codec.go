package gossip

import (
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"waxwingpick"
)

const (
	// dictionaryID marks deltas. Its value does not matter, because the base revision is sent beside the data.
	dictionaryID = 1
	// minDeltaSize is the minimum size of a body, in bytes, for which a delta is smaller than the compressed body.
	minDeltaSize = 4 << 10
	// maxWindow bounds the memory of a decoder, in bytes. A base and a body fit into it.
	maxWindow = 2 * waxwingpick.MaxValueSize
)

// ErrBaseMissing is returned if the base revision of a delta is not available.
var ErrBaseMissing = eris.New("base revision of the delta is not held")

// codec compresses bodies, either by themselves or as deltas against an earlier revision.
type codec struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

// sharedCodec returns the codec of all stores in the process. The codec is safe for concurrent use.
var sharedCodec = sync.OnceValues(newCodec)

func newCodec() (*codec, error) {
	enc, err := zstd.NewWriter(nil, encoderOptions()...)
	if err != nil {
		return nil, fmt.Errorf("create compressor: %w", err)
	}
	dec, err := zstd.NewReader(nil, decoderOptions()...)
	if err != nil {
		return nil, fmt.Errorf("create decompressor: %w", err)
	}
	return &codec{
		encoder: enc,
		decoder: dec,
	}, nil
}

func encoderOptions(more ...zstd.EOption) []zstd.EOption {
	return append([]zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(maxWindow),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
	}, more...)
}

func decoderOptions(more ...zstd.DOption) []zstd.DOption {
	return append([]zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxWindow(maxWindow),
		zstd.WithDecoderMaxMemory(waxwingpick.MaxValueSize),
	}, more...)
}

func (c *codec) full(body []byte) []byte {
	return c.encoder.EncodeAll(body, nil)
}

func (c *codec) delta(base, body []byte) ([]byte, error) {
	enc, err := zstd.NewWriter(nil, encoderOptions(zstd.WithEncoderDictRaw(dictionaryID, base))...)
	if err != nil {
		return nil, fmt.Errorf("create delta compressor: %w", err)
	}
	defer func() {
		_ = enc.Close()
	}()
	return enc.EncodeAll(body, nil), nil
}

func (c *codec) openFull(data []byte) ([]byte, error) {
	body, err := c.decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress body: %w", err)
	}
	return body, nil
}

func (c *codec) openDelta(base, data []byte) ([]byte, error) {
	dec, err := zstd.NewReader(nil, decoderOptions(zstd.WithDecoderDictRaw(dictionaryID, base))...)
	if err != nil {
		return nil, fmt.Errorf("create delta decompressor: %w", err)
	}
	defer dec.Close()
	body, err := dec.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress delta: %w", err)
	}
	return body, nil
}

// body returns the newest revision of a record, encoded for a process that holds the given one. It returns false if
// that process is up to date.
func (s *Store) body(key string, held int64) (waxwingpick.RecordBody, bool) {
	newest := s.newest(key)
	if newest.revision <= held {
		return waxwingpick.RecordBody{}, false
	}
	base, ok := s.at(key, held)
	if !ok || len(base.body) == 0 {
		base = version{}
	}
	b, ok := s.encoded[key][base.revision]
	if !ok {
		b = s.encode(key, newest, base)
		s.encoded[key][base.revision] = b
	}
	return b, true
}

// encode compresses a revision, as a delta if there is a base.
func (s *Store) encode(key string, v, base version) waxwingpick.RecordBody {
	b := waxwingpick.RecordBody{
		Key:      key,
		Revision: v.revision,
		Sum:      xxhash.Sum64(v.body),
	}
	if base.revision != 0 && len(v.body) >= minDeltaSize {
		data, err := s.codec.delta(base.body, v.body)
		if err == nil {
			b.Base = base.revision
			b.Data = data
			return b
		}
	}
	b.Data = s.codec.full(v.body)
	return b
}

// receive accepts a body from another process if it is newer and valid, and reports whether it did.
func (s *Store) receive(b waxwingpick.RecordBody) (bool, error) {
	if b.Revision <= s.newest(b.Key).revision {
		return false, nil
	}
	body, err := s.open(b)
	if err != nil {
		return false, fmt.Errorf("record %s at revision %d: %w", b.Key, b.Revision, err)
	}
	if xxhash.Sum64(body) != b.Sum {
		return false, eris.Errorf("record %s at revision %d: sum does not match the body", b.Key, b.Revision)
	}
	if err := s.validate(b.Key, body); err != nil {
		return false, fmt.Errorf("record %s at revision %d: %w", b.Key, b.Revision, err)
	}
	return s.Accept(b.Key, b.Revision, body), nil
}

func (s *Store) open(b waxwingpick.RecordBody) ([]byte, error) {
	if b.Base == 0 {
		return s.codec.openFull(b.Data)
	}
	base, ok := s.at(b.Key, b.Base)
	if !ok {
		return nil, fmt.Errorf("revision %d: %w", b.Base, ErrBaseMissing)
	}
	return s.codec.openDelta(base.body, b.Data)
}

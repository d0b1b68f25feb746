package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/google/uuid"

	"waxwingpick"
)

// KeyPrefix is the prefix of the claims in the key-value service.
const KeyPrefix = "waxwingpick/order/"

// BucketWidth is the span of issue times whose claims share a key prefix and are removed together.
const BucketWidth = time.Second

// OpaqueShards is the number of prefixes over which the claims of opaque keys are spread.
const OpaqueShards = 4096

const (
	issuedPrefix = KeyPrefix + "issued/"
	opaquePrefix = KeyPrefix + "opaque/"
)

// Key is a caller's idempotency key within its workspace.
type Key struct {
	hash   [sha256.Size]byte
	issued time.Time
}

// NewKey returns the idempotency key of a workspace's order. A UUID of version 7 includes its issue time, any other text
// is opaque.
func NewKey(workspace waxwingpick.WorkspaceID, text string) Key {
	return Key{
		hash:   digest([]byte(workspace), []byte(text)),
		issued: issueTime(text),
	}
}

// Issued returns the key's issue time and whether it has one.
func (k Key) Issued() (time.Time, bool) {
	return k.issued, !k.issued.IsZero()
}

// Path returns the key of the claim in the key-value service.
func (k Key) Path() string {
	hash := hex.EncodeToString(k.hash[:16])
	if k.issued.IsZero() {
		return opaqueShardPath(k.shard()) + hash
	}
	return issuedPath(k.issued) + hash
}

// fingerprint is the part of an opaque key's hash that a tombstone stores.
func (k Key) fingerprint() uint64 {
	return binary.BigEndian.Uint64(k.hash[8:16])
}

func (k Key) shard() int {
	return int(binary.BigEndian.Uint16(k.hash[:2])) % OpaqueShards
}

func opaqueShardPath(shard int) string {
	return fmt.Sprintf("%s%03x/", opaquePrefix, shard)
}

func issuedPath(issued time.Time) string {
	bucket := issued.Unix() / int64(BucketWidth/time.Second)
	return fmt.Sprintf("%s%010d/", issuedPrefix, bucket)
}

func issueTime(text string) time.Time {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 || id.String() != text {
		return time.Time{}
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec)
}

// HashCall returns the hash by which two different requests under one key are distinguished.
func HashCall(call waxwingpick.CallRequest) string {
	sum := digest([]byte(call.Method), []byte(call.Path), call.Body)
	return hex.EncodeToString(sum[:16])
}

// digest hashes the parts with their lengths, so that different lists of parts with equal concatenations differ.
func digest(parts ...[]byte) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range parts {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

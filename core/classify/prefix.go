package classify

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of tokens in one KV-cache block of an engine, the unit of prefix blocks.
const BlockTokens = 2000

const blockBytes = BlockTokens * int(defaultBytesPerToken)

// PrefixBlocks appends one hash for each complete block of the prompt to dst, until dst has maxBlocks elements. Each
// hash covers the model and the prompt up to the end of its block, so that equal hashes mean equal prefixes.
func PrefixBlocks(dst []uint64, model string, prompt []byte, maxBlocks int) []uint64 {
	chain := xxhash.Sum64String(model)
	for len(prompt) >= blockBytes && len(dst) < maxBlocks {
		chain = chainHash(chain, prompt[:blockBytes])
		dst = append(dst, chain)
		prompt = prompt[blockBytes:]
	}
	return dst
}

func chainHash(previous uint64, block []byte) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], previous)
	d := xxhash.New()
	_, _ = d.Write(seed[:])
	_, _ = d.Write(block)
	return d.Sum64()
}

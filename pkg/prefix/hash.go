package prefix

import "github.com/cespare/xxhash/v2"

const (
	// BlockBytes is the size of a block of a prompt.
	BlockBytes = 256
	// MaxBlocks is the maximum number of blocks of a prompt that are hashed.
	MaxBlocks = 32
)

// BlockHashes appends the hashes of the complete blocks of a prompt to out, at most MaxBlocks.
func BlockHashes(out []uint64, prompt []byte) []uint64 {
	chain := uint64(0)
	for n := 0; n < MaxBlocks && len(prompt) >= BlockBytes; n++ {
		chain = chain*0x9e3779b97f4a7c15 ^ xxhash.Sum64(prompt[:BlockBytes])
		out = append(out, chain)
		prompt = prompt[BlockBytes:]
	}
	return out
}

package bergamotprefix

import "github.com/cespare/xxhash/v2"

// BlockSize is the length of a block of a prompt in bytes.
const BlockSize = 64

// maxPromptBlocks limits the blocks of one prompt that are hashed; later blocks hardly change the choice of a target.
const maxPromptBlocks = 64

// Blocks appends the digests of the whole blocks at the beginning of a prompt to buf. Each digest covers the model and all
// text up to the end of its block, so equal digests mean equal beginnings.
func Blocks(buf []uint64, model, prompt string) []uint64 {
	h := xxhash.Sum64String(model)
	for n := 0; n < maxPromptBlocks && len(prompt) >= BlockSize; n++ {
		h = h*0x9e3779b97f4a7c15 + xxhash.Sum64String(prompt[:BlockSize])
		buf = append(buf, h)
		prompt = prompt[BlockSize:]
	}
	return buf
}

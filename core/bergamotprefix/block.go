package bergamotprefix

import "github.com/cespare/xxhash/v2"

// Size is the length of a block in bytes of prompt.
const Size = 64

// blocksMost bounds the work for one prompt; what lies behind it changes a choice little.
const blocksMost = 64

// Blocks appends the digests of the whole blocks at the beginning of a prompt to buf; each digest covers all text
// before it, so that equal digests mean equal beginnings.
func Blocks(buf []uint64, model, prompt string) []uint64 {
	h := xxhash.Sum64String(model)
	for n := 0; n < blocksMost && len(prompt) >= Size; n++ {
		h = h*0x9e3779b97f4a7c15 + xxhash.Sum64String(prompt[:Size])
		buf = append(buf, h)
		prompt = prompt[Size:]
	}
	return buf
}

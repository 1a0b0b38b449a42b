package bergamotfake

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The fake model is a hash in which every layer keeps a state for each sequence. A layer that is skipped, run twice or run
// out of order changes every later token, so comparing an answer with Reference shows whether every layer ran exactly once
// and in order.

var vocabulary = strings.Fields(`oil the board with linseed and let it dry for two days in shade before you
sand along grain then wipe a thin coat again check cracks at edge keep away from heat rinse quickly
stand upright wax seals pores walnut beech oak maple needs less more time between coats`)

// mix returns a hash of two numbers.
func mix(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// embed returns the input of layer 0 for a token.
func embed(seed uint64, token int) uint64 { return mix(seed, uint64(token)+1) }

// promptTokens returns one token for each word of a prompt.
func promptTokens(prompt string) []int {
	words := strings.Fields(prompt)
	tokens := make([]int, len(words))
	for n, w := range words {
		tokens[n] = int(xxhash.Sum64String(w) >> 1)
	}
	return tokens
}

// runLayer runs one layer on one input and updates the state of the layer.
func runLayer(state *uint64, layer int, in uint64) uint64 {
	out := mix(in^*state, uint64(layer))
	*state = mix(*state, out)
	return out
}

// sample returns the token that an output of the last layer selects.
func sample(hidden uint64) int { return int(hidden % uint64(len(vocabulary))) }

// textOf returns the text of a token.
func textOf(token int) string { return vocabulary[token] + " " }

// Reference returns the text of the n tokens that one engine with all layers generates.
func Reference(prompt string, seed uint64, layers, n int) string {
	states := make([]uint64, layers)
	inputs := promptTokens(prompt)
	var out strings.Builder
	for range n {
		var hidden uint64
		for _, token := range inputs {
			hidden = embed(seed, token)
			for layer := range states {
				hidden = runLayer(&states[layer], layer, hidden)
			}
		}
		token := sample(hidden)
		out.WriteString(textOf(token))
		inputs = []int{token}
	}
	return out.String()
}

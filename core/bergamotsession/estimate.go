package bergamotsession

import "time"

// Estimate compares the time to import KV cache with the time to recompute it.
type Estimate struct {
	rate    float64       // bytes/s that a target pulls from another instance
	setup   time.Duration // fixed time of one pull
	prefill time.Duration // time to run one token through one layer in a prefill batch
}

// NewEstimate returns an estimate from the rate of a pull in bytes/s, its fixed time, and the time to run
// one token through one layer in a prefill batch.
func NewEstimate(rate float64, setup, prefill time.Duration) Estimate {
	return Estimate{rate: rate, setup: setup, prefill: prefill}
}

// DefaultEstimate assumes a link of 10 Gbit/s and 40 us for one token and layer: a layer of width 4,096
// has about 200 M weights, so 0.4 GFLOP for each token at 10 TFLOP/s.
func DefaultEstimate() Estimate {
	return NewEstimate(1.25e9, 5*time.Millisecond, 40*time.Microsecond)
}

// Bytes returns the size of the KV cache; width is the size of the hidden state of one token in bytes,
// and keys and values are each as wide as it.
func (e Estimate) Bytes(layers, tokens, width int) int64 {
	return 2 * int64(layers) * int64(tokens) * int64(width)
}

// Pull returns the time to pull that many bytes from another instance.
func (e Estimate) Pull(bytes int64) time.Duration {
	return e.setup + time.Duration(float64(bytes)/e.rate*float64(time.Second))
}

// Recompute returns the time to run tokens through layers.
func (e Estimate) Recompute(layers, tokens int) time.Duration {
	return time.Duration(layers) * time.Duration(tokens) * e.prefill
}

// bytesPerToken is the usual length of a token in text; only engines tokenise, so the entry can only estimate.
const bytesPerToken = 4

// Tokens returns about how many tokens a prompt has.
func (e Estimate) Tokens(prompt string) int { return len(prompt)/bytesPerToken + 1 }

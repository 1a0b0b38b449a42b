package bergamotsession

import "time"

// Estimate estimates the time to import KV cache and the time to recompute it.
type Estimate struct {
	rate    float64       // rate of an import from another instance in bytes/s
	setup   time.Duration // fixed time of one import
	prefill time.Duration // time to run one token through one layer in a prefill batch
}

// NewEstimate returns an estimate from the rate of an import in bytes/s, its fixed time, and the time to run one token
// through one layer in a prefill batch.
func NewEstimate(rate float64, setup, prefill time.Duration) Estimate {
	return Estimate{rate: rate, setup: setup, prefill: prefill}
}

// DefaultEstimate returns an estimate for a link of 10 Gbit/s and 40 us for each token and layer: a layer of width 4,096
// has about 200 M weights and thus takes 0.4 GFLOP for each token, at 10 TFLOP/s.
func DefaultEstimate() Estimate {
	return NewEstimate(1.25e9, 5*time.Millisecond, 40*time.Microsecond)
}

// CacheBytes returns the size of the KV cache in bytes; width is the size of the hidden state of one token in bytes, and
// keys and values have that size each.
func (e Estimate) CacheBytes(layers, tokens, width int) int64 {
	return 2 * int64(layers) * int64(tokens) * int64(width)
}

// ImportTime returns the time to import that many bytes from another instance.
func (e Estimate) ImportTime(bytes int64) time.Duration {
	return e.setup + time.Duration(float64(bytes)/e.rate*float64(time.Second))
}

// RecomputeTime returns the time to run that many tokens through that many layers.
func (e Estimate) RecomputeTime(layers, tokens int) time.Duration {
	return time.Duration(layers) * time.Duration(tokens) * e.prefill
}

// bytesPerToken is the typical length of a token in text; only engines tokenise, so the entry can only estimate.
const bytesPerToken = 4

// PromptTokens returns the approximate number of tokens in a prompt.
func (e Estimate) PromptTokens(prompt string) int { return len(prompt)/bytesPerToken + 1 }

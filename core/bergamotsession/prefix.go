package bergamotsession

// Prefix holds the input of an attempt: the prompt and the tokens that the caller already has.
type Prefix struct {
	prompt string
	tokens []int
	limit  int
	seed   uint64
}

// NewPrefix returns a prefix; limit is the maximum number of tokens in the whole answer.
func NewPrefix(prompt string, tokens []int, limit int, seed uint64) Prefix {
	return Prefix{prompt: prompt, tokens: tokens, limit: limit, seed: seed}
}

// Prompt returns the prompt of the request.
func (p Prefix) Prompt() string { return p.prompt }

// Tokens returns the tokens that the caller already has, in order.
func (p Prefix) Tokens() []int { return p.tokens }

// Limit returns the maximum number of tokens in the whole answer.
func (p Prefix) Limit() int { return p.limit }

// Seed returns the sampling seed.
func (p Prefix) Seed() uint64 { return p.seed }

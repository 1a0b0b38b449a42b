package bergamotdetour

// Helper is an entry through which runners may be reached.
type Helper struct {
	name    string
	address string
	centre  string
}

// NewHelper returns the entry of that name in a data centre; address is the host and port at which other entries reach it.
func NewHelper(name, address, centre string) Helper {
	return Helper{name: name, address: address, centre: centre}
}

// Name returns the name of the entry.
func (h Helper) Name() string { return h.name }

// Address returns the host and port at which other entries reach it.
func (h Helper) Address() string { return h.address }

// Centre returns the data centre of the entry.
func (h Helper) Centre() string { return h.centre }

// Answer is what a helper says when it is asked for a connection to a runner. In every answer but AnswerConnected nothing has been
// sent to the runner.
type Answer string

// Answers of a helper.
const (
	AnswerConnected Answer = "connected"
	AnswerUnreached Answer = "unreached" // the helper does not reach the runner either
	AnswerRefused   Answer = "refused"   // nothing listens at the address of the runner
	AnswerCut       Answer = "cut"       // the helper has lost its own links to the runners
	AnswerFull      Answer = "full"      // it lends no more connections or has no memory for one
	AnswerStopping  Answer = "stopping"  // it is shutting down
	AnswerStale     Answer = "stale"     // its list of runners may be out of date
	AnswerExcluded  Answer = "excluded"  // it does not know the runner, or the runner wants no requests from it
	AnswerSilent    Answer = "silent"    // the helper itself was not reached, or did not answer in time
)

// IsNotReached reports whether the helper tried and did not reach the runner.
func (a Answer) IsNotReached() bool { return a == AnswerUnreached || a == AnswerRefused }

// Answers returns every answer in a fixed order.
func Answers() []Answer {
	return []Answer{
		AnswerConnected, AnswerUnreached, AnswerRefused, AnswerCut, AnswerFull, AnswerStopping, AnswerStale, AnswerExcluded, AnswerSilent,
	}
}

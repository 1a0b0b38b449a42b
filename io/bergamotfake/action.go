package bergamotfake

import "bergamotspur/io/bergamotengine"

// An Action is what an engine does with a step.
type Action int

// Actions that a hook can return.
const (
	ActionRun          Action = iota // run the step correctly
	ActionCrash                      // stop the engine before the step runs
	ActionDropResult                 // run the step and send no result
	ActionRunTwice                   // run the step twice
	ActionWrongSession               // send the token under the id of another session
	ActionRepeatToken                // send the token twice
)

// A Hook returns the action for a step before it runs; while it blocks, the engine hangs with its connections open.
type Hook func(step StepRecord) Action

// SetHook makes the engine call hook before each step; nil removes the hook.
func (e *Engine) SetHook(hook Hook) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hook = hook
}

// SetHoldings replaces the layers that the engine holds.
func (e *Engine) SetHoldings(holdings ...bergamotengine.HoldingMessage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holdings = holdings
}

// FreezeStreams makes all open token streams silent for good, like a middlebox that lost their connection state;
// streams opened later work.
func (e *Engine) FreezeStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.frozen)
	e.frozen = make(chan struct{})
}

// actionFor returns the action for a step; it does not hold the lock while the hook runs.
func (e *Engine) actionFor(m StepMessage) Action {
	e.mu.Lock()
	hook := e.hook
	s, ok := e.spans[spanKey{m.Session, m.Attempt}]
	e.mu.Unlock()
	if hook == nil || !ok {
		return ActionRun
	}
	return hook(StepRecord{m.Session, m.Attempt, m.Position, s.message.From, s.message.To})
}

package bergamotfake

import "bergamotspur/io/bergamotengine"

// Action is what a hook makes an engine do with a step.
type Action int

// Actions of a hook.
const (
	ActionRun    Action = iota // run the step as an intact engine does
	ActionDie                  // end the engine before the step
	ActionLose                 // run the step and hand nothing on
	ActionTwice                // run the step twice
	ActionCross                // give the token of another session
	ActionRepeat               // give the token twice
)

// Hook decides about each step before it runs; an engine whose hook blocks hangs with its connections open.
type Hook func(at Entry) Action

// SetHook makes the engine ask hook before each step; nil removes it.
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

// FreezeStreams makes all open token streams silent for good, as a middlebox that lost their state does;
// new ones work.
func (e *Engine) FreezeStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.frozen)
	e.frozen = make(chan struct{})
}

// ask returns the action for a step; it holds no lock while the hook runs.
func (e *Engine) ask(m StepMessage) Action {
	e.mu.Lock()
	hook := e.hook
	s, ok := e.spans[key{m.Session, m.Attempt}]
	e.mu.Unlock()
	if hook == nil || !ok {
		return ActionRun
	}
	return hook(Entry{m.Session, m.Attempt, m.Position, s.message.From, s.message.To})
}

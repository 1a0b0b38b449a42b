// Package bergamotloop runs the single control goroutine of a process, which owns a state, applies events to it and runs
// the controllers. Each front end has its own type of state.
package bergamotloop

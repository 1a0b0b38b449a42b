// Package bergamotloop runs the single control goroutine of a process: it owns a state, applies events to it and
// runs the controllers. Each front end brings its own type of state.
package bergamotloop

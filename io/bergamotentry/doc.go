// Package bergamotentry builds and runs one entry: the filter chain, the control loop and the listeners, under a supervisor.
package bergamotentry

// Package bergamotrelay answers requests whose bodies are passed on unchanged: the exchange, the filters, and the
// handlers that choose runners, repeat what may be repeated and continue broken streams.
package bergamotrelay

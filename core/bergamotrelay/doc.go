// Package bergamotrelay answers requests whose bodies are passed on unchanged. It holds the exchange, the filters, and
// the handlers that choose runners, retry requests and resume interrupted streams.
package bergamotrelay

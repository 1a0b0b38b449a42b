// Package bergamotpeer exchanges membership messages between entries by jsonrpc2 over TLS 1.3 with mutual authentication.
package bergamotpeer

// Package bergamotpeer exchanges membership messages and bundle texts between entries by JSON-RPC over mutual TLS 1.3.
package bergamotpeer

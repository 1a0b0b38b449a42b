// Package bergamotrequest defines requests, tokens, replies and refusals independently of any wire format.
package bergamotrequest

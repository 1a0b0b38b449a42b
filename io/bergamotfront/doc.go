// Package bergamotfront is the HTTP front end for callers: the completions and chat-completions API and plain services.
package bergamotfront

// Package bergamotfront is the HTTP front end for callers: completions, chat completions and calls to plain services.
package bergamotfront

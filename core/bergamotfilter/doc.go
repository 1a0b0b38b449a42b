// Package bergamotfilter contains the filters of the request chain and the handlers at its end.
package bergamotfilter

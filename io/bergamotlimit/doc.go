// Package bergamotlimit bounds what the clients of an HTTP server can make the process hold: connections, heads and bodies.
package bergamotlimit

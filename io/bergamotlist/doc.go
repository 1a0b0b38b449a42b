// Package bergamotlist reads the platform's list of instances over HTTP.
package bergamotlist

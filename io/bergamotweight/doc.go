// Package bergamotweight is the HTTP client of the platform's weight store, which limits the rate of loads.
package bergamotweight

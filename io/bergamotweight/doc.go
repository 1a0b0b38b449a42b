// Package bergamotweight reserves loading rate at the platform's weight store.
package bergamotweight

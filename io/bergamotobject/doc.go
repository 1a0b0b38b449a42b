// Package bergamotobject is the HTTP client of the platform's object store.
package bergamotobject

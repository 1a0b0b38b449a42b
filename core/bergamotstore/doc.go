// Package bergamotstore defines the rows, changes and errors of the platform's table service and object store.
package bergamotstore

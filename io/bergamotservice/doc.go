// Package bergamotservice is the HTTP client of services that do not run a model.
package bergamotservice

// Package bergamotfleet holds what an entry knows about the instances that it sends requests to.
package bergamotfleet

// Package bergamotstore defines what the platform's table service and object store keep.
package bergamotstore

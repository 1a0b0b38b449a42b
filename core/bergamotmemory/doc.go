// Package bergamotmemory provides a table service and an object store in memory with fault injection, for tests.
package bergamotmemory

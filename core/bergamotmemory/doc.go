// Package bergamotmemory provides a table service and an object store in memory with injected failures, for tests.
package bergamotmemory

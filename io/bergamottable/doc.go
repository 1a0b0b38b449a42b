// Package bergamottable is the HTTP client of the platform's table service.
package bergamottable

// Package bergamottable speaks to the platform's table service over HTTP.
package bergamottable

// Package bergamotengine is the HTTP client of model engines.
package bergamotengine

// Package bergamotengine speaks to model engines over HTTP.
package bergamotengine

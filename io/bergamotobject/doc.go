// Package bergamotobject speaks to the platform's object store over HTTP.
package bergamotobject

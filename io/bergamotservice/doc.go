// Package bergamotservice speaks to plain services over HTTP.
package bergamotservice

// Package bergamotmetric counts events and serves the counters over HTTP.
package bergamotmetric

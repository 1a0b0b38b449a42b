// Package bergamotmetric keeps counters and histograms of durations and serves them over HTTP.
package bergamotmetric

// Package bergamotchain defines the filter chain that every request passes through.
package bergamotchain

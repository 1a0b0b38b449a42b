// Package bergamotlog writes structured log lines with a fixed prefix for each part.
package bergamotlog

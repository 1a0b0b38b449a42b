// Package bergamotlog writes structured JSON log lines, each prefixed with the part of the system that logs.
package bergamotlog

// Package bergamotfilter holds the filters that every request passes through, one for each file.
package bergamotfilter

// Package bergamotcommand is the command line, one command for each file.
package bergamotcommand

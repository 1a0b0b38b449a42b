// Package bergamotini reads INI documents section by section and collects all faults with their lines.
package bergamotini

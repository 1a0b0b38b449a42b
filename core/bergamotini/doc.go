// Package bergamotini reads INI documents section by section and collects every fault with its line.
package bergamotini

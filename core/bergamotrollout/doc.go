// Package bergamotrollout stores bundles, moves the head to a new version and reads the version in force.
package bergamotrollout

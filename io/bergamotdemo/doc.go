// Package bergamotdemo runs the demo: two entries on fakes of the platform and the targets, on loopback in one process.
package bergamotdemo

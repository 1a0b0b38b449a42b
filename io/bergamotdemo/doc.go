// Package bergamotdemo runs fakes and two entries on loopback in one process.
package bergamotdemo

//go:build race

package bergamotcluster_test

// raceDetector is set in a build with the race detector. It aborts by itself after the events of long simulations of many
// entries in one process, so that the simulations are shorter and smaller there.
const raceDetector = true

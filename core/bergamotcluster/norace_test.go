//go:build !race

package bergamotcluster_test

// raceDetector is not set in a build without the race detector.
const raceDetector = false

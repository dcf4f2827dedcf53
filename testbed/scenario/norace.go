//go:build !race

package scenario

// raceDetector reports whether the binaries of scripts are built with the race detector. It matches the build of the
// test.
const raceDetector = false

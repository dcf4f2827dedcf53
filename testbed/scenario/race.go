//go:build race

package scenario

// raceDetector builds the binaries of scripts with the race detector, as the test itself is built.
const raceDetector = true

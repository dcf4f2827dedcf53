package capacity

import (
	"math"
	"slices"
	"time"

	"jackdawbay.dev/core/membership"
)

// Median returns the middle value, or the mean of the two middle values. It returns NaN for no values.
func Median(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// Quantile returns the smallest value that is at least as large as the share q of all values.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}

// Line is a straight line through measured points.
type Line struct {
	Intercept float64
	Slope     float64
}

// Fit returns the least-squares line through the points. It needs two different values of x.
func Fit(x, y []float64) Line {
	var sumX, sumY float64
	n := float64(len(x))
	for i := range x {
		sumX += x[i]
		sumY += y[i]
	}
	meanX, meanY := sumX/n, sumY/n
	var sumXY, sumXX float64
	for i := range x {
		sumXY += (x[i] - meanX) * (y[i] - meanY)
		sumXX += (x[i] - meanX) * (x[i] - meanX)
	}
	slope := sumXY / sumXX
	return Line{Intercept: meanY - slope*meanX, Slope: slope}
}

// At returns the value of the line.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Header sizes in bytes without options other than timestamps, as Linux sends them.
const (
	ipHeaderBytes  = 20
	tcpHeaderBytes = 32
)

// TCPIPHeaderBytes estimates the bytes of IP and TCP headers of HTTP exchanges: a segment with the request, one with the
// response, and one bare acknowledgement. All three pass the daemon, whichever side began.
func TCPIPHeaderBytes(exchanges float64) float64 {
	const segments = 3
	return exchanges * segments * (ipHeaderBytes + tcpHeaderBytes)
}

// idleExchangesPerSecond returns the HTTP exchanges a second of a daemon at rest in a data centre of n daemons, those that it
// answers included. platformCalls is zero for a daemon that is not the coordinator.
func idleExchangesPerSecond(daemons int, coordinator bool, platformCalls float64) float64 {
	probes := float64(min(membership.ProbeFanOut, daemons-1)) / membership.ProbeInterval.Seconds()
	status := 1 / controlWindow.Seconds()
	if coordinator {
		return 2*probes + float64(daemons-1)*status + platformCalls
	}
	return 2*probes + status
}

// clockTick is the unit of processor times in /proc/PID/stat on Linux, where USER_HZ is 100 on all supported machines.
const clockTick = 10 * time.Millisecond

// percent returns a processor time as a share of one core.
func percentOfCore(cpu, window time.Duration) float64 {
	return 100 * cpu.Seconds() / window.Seconds()
}

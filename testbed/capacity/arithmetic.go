package capacity

import (
	"math"
	"slices"
	"time"

	"jackdawbay.dev/core/membership"
)

// Median returns the middle value, or the mean of the two middle values. It returns NaN for an empty list.
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

// Quantile returns the smallest value that is greater than or equal to the share q of all values. It returns NaN for an
// empty list.
func Quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	i := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}

// Line is a straight line fitted to measured points.
type Line struct {
	Intercept float64
	Slope     float64
}

// Fit returns the least-squares line through the points. The points need two different values of x.
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

// At returns the y value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Header sizes in bytes on Linux, with timestamps as the only TCP option.
const (
	ipHeaderBytes  = 20
	tcpHeaderBytes = 32
)

// TCPIPHeaderBytes estimates the IP and TCP header bytes of HTTP exchanges. An exchange has three segments: the
// request, the response and one bare acknowledgement. All three pass through the daemon, whichever side sent the
// request.
func TCPIPHeaderBytes(exchanges float64) float64 {
	const segments = 3
	return exchanges * segments * (ipHeaderBytes + tcpHeaderBytes)
}

// idleExchangesPerSecond returns the HTTP exchanges per second of an idle daemon in a data centre with the given number
// of daemons, including those to which it responds. platformCalls is zero for a daemon that is not the coordinator.
func idleExchangesPerSecond(daemons int, coordinator bool, platformCalls float64) float64 {
	probes := float64(min(membership.ProbeFanOut, daemons-1)) / membership.ProbeInterval.Seconds()
	status := 1 / controlWindow.Seconds()
	if coordinator {
		return 2*probes + float64(daemons-1)*status + platformCalls
	}
	return 2*probes + status
}

// clockTick is the unit of CPU times in /proc/PID/stat. USER_HZ is 100 on all Linux machines that are supported.
const clockTick = 10 * time.Millisecond

// percentOfCore returns a CPU time in percent of one core.
func percentOfCore(cpu, window time.Duration) float64 {
	return 100 * cpu.Seconds() / window.Seconds()
}

package ingress

import "sync"

const (
	// defaultOutputTokens is the estimate for a class without a response so far.
	defaultOutputTokens = 256
	// outputMeanWeight is the weight of a new response in the moving mean.
	outputMeanWeight = 0.05
	// maxOutputClasses bounds the number of classes that have a mean.
	maxOutputClasses = 1000
)

// outputEstimator estimates the output tokens of a response by the moving mean of its class.
type outputEstimator struct {
	mu    sync.Mutex
	means map[string]float64
}

func newOutputEstimator() *outputEstimator { return &outputEstimator{means: map[string]float64{}} }

func (o *outputEstimator) observe(class string, tokens int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	mean, ok := o.means[class]
	if !ok && len(o.means) >= maxOutputClasses {
		return
	}
	if !ok {
		mean = float64(tokens)
	}
	o.means[class] = mean + outputMeanWeight*(float64(tokens)-mean)
}

func (o *outputEstimator) estimate(class string) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if mean, ok := o.means[class]; ok {
		return int64(mean)
	}
	return defaultOutputTokens
}

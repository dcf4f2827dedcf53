package ingress

import "sync"

const (
	// defaultOutput is the expected output in tokens of a class without answers so far.
	defaultOutput = 256
	// outputWeight is the weight of a new answer in the moving mean.
	outputWeight = 0.05
	// maxOutputClasses bounds the classes with a mean of their own.
	maxOutputClasses = 1000
)

// outputMeans holds the moving mean of the output tokens by class.
type outputMeans struct {
	mu    sync.Mutex
	means map[string]float64
}

func newOutputMeans() *outputMeans { return &outputMeans{means: map[string]float64{}} }

func (o *outputMeans) observe(class string, tokens int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	mean, ok := o.means[class]
	if !ok && len(o.means) >= maxOutputClasses {
		return
	}
	if !ok {
		mean = float64(tokens)
	}
	o.means[class] = mean + outputWeight*(float64(tokens)-mean)
}

func (o *outputMeans) expected(class string) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if mean, ok := o.means[class]; ok {
		return int64(mean)
	}
	return defaultOutput
}

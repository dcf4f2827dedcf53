package schedule

import (
	"time"

	"jackdawbay.dev/api/records"
)

// Mechanism is a set of mechanisms of a dispatcher, used to switch them off one by one in experiments.
type Mechanism uint

// Mechanisms of a dispatcher.
const (
	ServiceOrder     Mechanism = 1 << iota // Least attained service first; off: first come, first served.
	CachePlacement                         // The missing prefix counts in the choice of an engine.
	PrefixWait                             // A call waits for the busy engine that holds its prefix.
	MemoryLimit                            // The contexts in flight on an engine fit in its memory.
	PausedProtection                       // New programs wait for room beside the programs under way, paused ones too.
	CacheRelease                           // Prefixes that are not worth their memory are released.
)

// Config holds the settings of a Dispatcher that no record sets. Zero fields take the defaults.
type Config struct {
	Placement              records.Placement
	QueueDepth             int           // Waiting tickets of all classes.
	MaxPrograms            int           // Programs whose service and prefixes are remembered.
	GrantTTL               time.Duration // Time after which a grant without Renew or Release expires.
	PrefillTokensPerSecond float64       // Speed of an engine on a prompt.
	DecodeTokensPerSecond  float64       // Speed of an engine on one response in a usual batch.
	ServiceUnit            float64       // Attained service, in prefill tokens, at which the penalty starts to grow.
	ServicePenalty         float64       // Seconds of penalty for each doubling of attained service; bounds the longest wait.
	MaxAdmissionDelay      time.Duration // Longest wait of a new program for room beside the programs under way.
	MaxMemoryDemand        float64       // Part of an engine's memory up to which programs under way count as fitting.
	Disabled               Mechanism
}

// Defaults of Config.
const (
	DefaultQueueDepth             = 5000
	DefaultMaxPrograms            = 20_000
	DefaultGrantTTL               = 2 * time.Minute
	DefaultPrefillTokensPerSecond = 8000
	DefaultDecodeTokensPerSecond  = 40
	DefaultServiceUnit            = 4000
	DefaultServicePenalty         = 100
	DefaultMaxAdmissionDelay      = 2 * time.Minute
	DefaultMaxMemoryDemand        = 1.15
)

// minAgeing keeps every ticket's wait bounded when a record sets no ageing, in priority for each second.
const minAgeing = 0.05

// maxLanes bounds the distinct pairs of model and adapter with their own queue.
const maxLanes = 256

// maxClasses bounds the classes with their own averages; further ones count as the default class.
const maxClasses = 256

func (c Config) withDefaults() Config {
	setInt(&c.QueueDepth, DefaultQueueDepth)
	setInt(&c.MaxPrograms, DefaultMaxPrograms)
	setDuration(&c.GrantTTL, DefaultGrantTTL)
	setDuration(&c.MaxAdmissionDelay, DefaultMaxAdmissionDelay)
	setFloat(&c.PrefillTokensPerSecond, DefaultPrefillTokensPerSecond)
	setFloat(&c.DecodeTokensPerSecond, DefaultDecodeTokensPerSecond)
	setFloat(&c.MaxMemoryDemand, DefaultMaxMemoryDemand)
	setFloat(&c.ServiceUnit, DefaultServiceUnit)
	setFloat(&c.ServicePenalty, DefaultServicePenalty)
	if c.Placement == (records.Placement{}) {
		c.Placement = records.DefaultPlacement("")
	}
	return c
}

func setInt(v *int, d int) {
	if *v <= 0 {
		*v = d
	}
}

func setFloat(v *float64, d float64) {
	if *v <= 0 {
		*v = d
	}
}

func setDuration(v *time.Duration, d time.Duration) {
	if *v <= 0 {
		*v = d
	}
}

func (c *Config) on(m Mechanism) bool { return c.Disabled&m == 0 }

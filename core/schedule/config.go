package schedule

import (
	"time"

	"jackdawbay.dev/api/records"
)

// Mechanism is a bit set of the dispatcher's mechanisms. Experiments disable them individually.
type Mechanism uint

// Mechanisms of a dispatcher.
const (
	ServiceOrder     Mechanism = 1 << iota // Serve programs with the least attained service first; when disabled, in order of arrival.
	CachePlacement                         // Include the cost of recomputing a missing prefix in the choice of an engine.
	PrefixWait                             // Let a call wait for the busy engine that has cached its prefix.
	MemoryLimit                            // Limit the contexts in flight on an engine to its memory.
	PausedProtection                       // Let new programs wait until an engine has memory beside the running programs, including paused ones.
	CacheRelease                           // Release prefixes of programs that have ended or paused for long.
)

// Config holds the settings of a Dispatcher that are not set by records. Zero fields take the defaults.
type Config struct {
	Placement              records.Placement
	QueueDepth             int           // Max waiting tickets of all classes.
	MaxPrograms            int           // Max programs whose attained service and prefixes are tracked.
	GrantTTL               time.Duration // Time after which a grant without RenewGrant or Release expires.
	PrefillTokensPerSecond float64       // Prompt processing speed of an engine.
	DecodeTokensPerSecond  float64       // Generation speed of an engine for one response in a typical batch.
	ServiceUnit            float64       // Attained service, in prefill tokens, at which the penalty starts to grow.
	ServicePenalty         float64       // Penalty in seconds for each doubling of attained service; bounds the maximum wait.
	MaxAdmissionDelay      time.Duration // Max wait of a new program for memory beside the running programs.
	MaxMemoryDemand        float64       // Fraction of an engine's memory that the running programs may demand.
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

// minAgeingPerSecond bounds the wait of every ticket when a record sets no ageing. Its unit is priority per second.
const minAgeingPerSecond = 0.05

// maxModelQueues is the maximum number of pairs of model and adapter with their own queue.
const maxModelQueues = 256

// maxClasses is the maximum number of classes with their own averages. Further classes share the state of the default
// class.
const maxClasses = 256

func (c Config) withDefaults() Config {
	setDefaultInt(&c.QueueDepth, DefaultQueueDepth)
	setDefaultInt(&c.MaxPrograms, DefaultMaxPrograms)
	setDefaultDuration(&c.GrantTTL, DefaultGrantTTL)
	setDefaultDuration(&c.MaxAdmissionDelay, DefaultMaxAdmissionDelay)
	setDefaultFloat(&c.PrefillTokensPerSecond, DefaultPrefillTokensPerSecond)
	setDefaultFloat(&c.DecodeTokensPerSecond, DefaultDecodeTokensPerSecond)
	setDefaultFloat(&c.MaxMemoryDemand, DefaultMaxMemoryDemand)
	setDefaultFloat(&c.ServiceUnit, DefaultServiceUnit)
	setDefaultFloat(&c.ServicePenalty, DefaultServicePenalty)
	if c.Placement == (records.Placement{}) {
		c.Placement = records.DefaultPlacement("")
	}
	return c
}

func setDefaultInt(v *int, d int) {
	if *v <= 0 {
		*v = d
	}
}

func setDefaultFloat(v *float64, d float64) {
	if *v <= 0 {
		*v = d
	}
}

func setDefaultDuration(v *time.Duration, d time.Duration) {
	if *v <= 0 {
		*v = d
	}
}

func (c *Config) isEnabled(m Mechanism) bool { return c.Disabled&m == 0 }

package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Class names a kind of program of the two deployments.
type Class string

// Classes of programs.
const (
	ClassAgent Class = "agent" // Long chain of model calls with tool pauses and sub-agents.
	ClassOrder Class = "order" // Model calls around non-idempotent orders.
	ClassStock Class = "stock" // One short stock check.
)

// Classes lists the classes in the order of reports.
var Classes = []Class{ClassAgent, ClassOrder, ClassStock}

// StepKind is what one step of a program does.
type StepKind string

// Kinds of steps.
const (
	StepModel     StepKind = "model"
	StepStock     StepKind = "stock_check"
	StepOrder     StepKind = "order"
	StepPause     StepKind = "pause"
	StepSubAgents StepKind = "sub_agent"
)

// Step is one step of a program. Only the fields of its kind are set.
type Step struct {
	Kind        StepKind
	Key         string // Call key, unique in the program.
	Prompt      string
	MaxTokens   int
	Path        string // Path at a service.
	BusinessKey string // Business key of an order.
	Pause       time.Duration
	SubAgents   []Plan // They run at the same time; the program goes on after the last one.
}

// Plan is one program.
type Plan struct {
	Number int
	Class  Class
	Steps  []Step
}

// Shape bounds the generated programs.
type ProgramParams struct {
	KeyPrefix    string // Prefix of business keys, so that two runs against one service do not share them.
	PromptBytes  int    // Median size of a new user message in bytes.
	MaxTokens    int    // Largest answer in tokens.
	MaxTurns     int    // Calls of one program at most.
	PauseMedian  time.Duration
	MaxPause     time.Duration
	SubAgentRate float64 // Probability that an agent program starts sub-agents.
}

// DefaultProgramParams returns programs that end within seconds.
func DefaultProgramParams() ProgramParams {
	return ProgramParams{
		KeyPrefix:    "run",
		PromptBytes:  400,
		MaxTokens:    64,
		MaxTurns:     40,
		PauseMedian:  200 * time.Millisecond,
		MaxPause:     10 * time.Second,
		SubAgentRate: 0.25,
	}
}

// Mix gives the share of each class in per cent.
type Mix map[Class]int

// DefaultMix resembles the two deployments: most arrivals are stock checks, most work is in agent programs.
func DefaultMix() Mix { return Mix{ClassAgent: 40, ClassOrder: 20, ClassStock: 40} }

const wholeMix = 100

// Check reports a mix that does not add up to 100 per cent of known classes.
func (m Mix) Check() error {
	total := 0
	for class, share := range m {
		if !slices.Contains(Classes, class) {
			return errors.Newf("class %q is unknown; classes: agent, order, stock", class)
		}
		if share < 0 {
			return errors.Newf("share of class %q is negative", class)
		}
		total += share
	}
	if total != wholeMix {
		return errors.Newf("the shares of the class mix add up to %d, not to 100", total)
	}
	return nil
}

// Generator draws programs. The same seed, mix and shape give the same programs. It is not safe for concurrent use.
type Generator struct {
	rng   *rand.Rand
	mix   Mix
	shape ProgramParams
	next  int
}

// NewGenerator returns a generator.
func NewGenerator(seed uint64, mix Mix, shape ProgramParams) *Generator {
	return &Generator{rng: rand.New(rand.NewPCG(seed, seed)), mix: mix, shape: shape}
}

// Arrival returns the time until the next program of a Poisson process with the rate a second.
func (g *Generator) NextArrivalDelay(rate float64) time.Duration {
	return time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
}

// Program draws the next program.
func (g *Generator) NextProgram() Plan {
	g.next++
	p := Plan{Number: g.next, Class: g.class()}
	switch p.Class {
	case ClassStock:
		p.Steps = []Step{g.stock(0)}
	case ClassOrder:
		p.Steps = g.orderSteps(p.Number)
	default:
		p.Steps = g.agentSteps(p.Number)
	}
	return p
}

func (g *Generator) class() Class {
	n := g.rng.IntN(wholeMix)
	for _, c := range Classes {
		if n -= g.mix[c]; n < 0 {
			return c
		}
	}
	return ClassStock
}

func (g *Generator) stock(i int) Step {
	return Step{Kind: StepStock, Key: fmt.Sprintf("stock-%d", i), Path: fmt.Sprintf("/stock/item-%d", g.rng.IntN(1000))}
}

// orderSteps drafts an order, checks stock, places one to three orders and confirms.
func (g *Generator) orderSteps(number int) []Step {
	steps := []Step{g.model(0), g.stock(1), g.pause()}
	for i := range 1 + g.rng.IntN(3) {
		steps = append(steps, Step{
			Kind:        StepOrder,
			Key:         fmt.Sprintf("order-%d", i),
			Path:        "/orders",
			BusinessKey: fmt.Sprintf("%s-%d-%d", g.shape.KeyPrefix, number, i),
		})
	}
	return append(steps, g.model(1))
}

// turnsAlpha is the tail index of the number of turns: a mean of about three times the least with a heavy tail.
const turnsAlpha = 1.5

// leastTurns is the least number of model calls of an agent program.
const leastTurns = 2

func (g *Generator) agentSteps(number int) []Step {
	turns := min(int(leastTurns*g.pareto(turnsAlpha)), g.shape.MaxTurns)
	forkAt := -1
	if g.rng.Float64() < g.shape.SubAgentRate {
		forkAt = g.rng.IntN(turns)
	}
	var steps []Step
	for i := range turns {
		steps = append(steps, g.model(i))
		if i == forkAt {
			steps = append(steps, g.subAgents(number))
		}
		if i < turns-1 {
			steps = append(steps, g.pause())
		}
	}
	return steps
}

func (g *Generator) subAgents(number int) Step {
	s := Step{Kind: StepSubAgents}
	for range 1 + g.rng.IntN(3) {
		s.SubAgents = append(s.SubAgents, Plan{
			Number: number,
			Class:  ClassAgent,
			Steps:  []Step{g.model(0), g.stock(1), g.model(1)},
		})
	}
	return s
}

func (g *Generator) model(i int) Step {
	return Step{
		Kind:      StepModel,
		Key:       fmt.Sprintf("model-%d", i),
		Prompt:    g.prompt(),
		MaxTokens: 1 + g.rng.IntN(g.shape.MaxTokens),
	}
}

// maxPromptFactor bounds the tail of the prompt length.
const maxPromptFactor = 20

func (g *Generator) prompt() string {
	const words = "check the size table and the stock of the jerseys for the order of the club "
	factor := min(math.Exp(g.rng.NormFloat64()), maxPromptFactor)
	size := max(1, int(float64(g.shape.PromptBytes)*factor))
	text := fmt.Sprintf("%08x ", g.rng.Uint32()) + strings.Repeat(words, size/len(words)+1)
	return text[:min(size, len(text))]
}

// pauseSigma is the spread of the log-normal tool pauses: the 99th percentile is about 33 times the median.
const pauseSigma = 1.5

func (g *Generator) pause() Step {
	d := time.Duration(float64(g.shape.PauseMedian) * math.Exp(pauseSigma*g.rng.NormFloat64()))
	return Step{Kind: StepPause, Pause: min(d, g.shape.MaxPause)}
}

// pareto draws a value of at least 1 with the tail index alpha.
func (g *Generator) pareto(alpha float64) float64 {
	return math.Pow(1-g.rng.Float64(), -1/alpha)
}

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

// Class is a class of programs in the two example deployments.
type Class string

// Program classes.
const (
	ClassAgent Class = "agent" // Many model calls with tool pauses and sub-agents.
	ClassOrder Class = "order" // Model calls around non-idempotent orders.
	ClassStock Class = "stock" // One short stock check.
)

// Classes lists all classes in report order.
var Classes = []Class{ClassAgent, ClassOrder, ClassStock}

// StepKind is the kind of a step.
type StepKind string

// Step kinds.
const (
	StepModel     StepKind = "model"
	StepStock     StepKind = "stock_check"
	StepOrder     StepKind = "order"
	StepPause     StepKind = "pause"
	StepSubAgents StepKind = "sub_agent"
)

// Step is a step of a program. Only the fields of its kind are set.
type Step struct {
	Kind        StepKind
	Key         string // Call key, unique within the program.
	Prompt      string
	MaxTokens   int
	Path        string // Request path of a service call.
	BusinessKey string // Business key of an order.
	Pause       time.Duration
	SubAgents   []Plan // Sub-agents that run concurrently. The program continues when all have ended.
}

// Plan is the sequence of steps of one program.
type Plan struct {
	Number int
	Class  Class
	Steps  []Step
}

// ProgramParams contains the parameters of the generated programs.
type ProgramParams struct {
	KeyPrefix    string // Prefix of business keys, unique per run so that runs against the same service do not share keys.
	PromptBytes  int    // Median size of a new user message in bytes.
	MaxTokens    int    // Maximum response size in tokens.
	MaxTurns     int    // Maximum number of model calls of an agent program.
	PauseMedian  time.Duration
	MaxPause     time.Duration
	SubAgentRate float64 // Probability that an agent program starts sub-agents.
}

// DefaultProgramParams returns parameters for programs that end within seconds.
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

// Mix is the share of each class in per cent.
type Mix map[Class]int

// DefaultMix returns a mix similar to the two example deployments: many arrivals are stock checks, and most of the work
// is in agent programs.
func DefaultMix() Mix { return Mix{ClassAgent: 40, ClassOrder: 20, ClassStock: 40} }

const totalPercent = 100

// Check returns an error if the mix has an unknown class or a negative share, or does not add up to 100 per cent.
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
	if total != totalPercent {
		return errors.Newf("the shares of the class mix add up to %d, not to 100", total)
	}
	return nil
}

// Generator generates random programs. The same seed, mix and parameters produce the same programs. It is not safe for
// concurrent use.
type Generator struct {
	rng          *rand.Rand
	mix          Mix
	params       ProgramParams
	programCount int
}

// NewGenerator returns a generator with the given seed, class mix and program parameters.
func NewGenerator(seed uint64, mix Mix, params ProgramParams) *Generator {
	return &Generator{rng: rand.New(rand.NewPCG(seed, seed)), mix: mix, params: params}
}

// NextArrivalDelay returns the time until the next arrival of a Poisson process. The rate is in programs per second.
func (g *Generator) NextArrivalDelay(rate float64) time.Duration {
	return time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
}

// NextProgram generates the next program.
func (g *Generator) NextProgram() Plan {
	g.programCount++
	p := Plan{Number: g.programCount, Class: g.drawClass()}
	switch p.Class {
	case ClassStock:
		p.Steps = []Step{g.stockStep(0)}
	case ClassOrder:
		p.Steps = g.orderSteps(p.Number)
	default:
		p.Steps = g.agentSteps(p.Number)
	}
	return p
}

func (g *Generator) drawClass() Class {
	n := g.rng.IntN(totalPercent)
	for _, c := range Classes {
		if n -= g.mix[c]; n < 0 {
			return c
		}
	}
	return ClassStock
}

func (g *Generator) stockStep(i int) Step {
	return Step{Kind: StepStock, Key: fmt.Sprintf("stock-%d", i), Path: fmt.Sprintf("/stock/item-%d", g.rng.IntN(1000))}
}

// orderSteps returns the steps of an order program: draft the order, check stock, place one to three orders and
// confirm.
func (g *Generator) orderSteps(number int) []Step {
	steps := []Step{g.modelStep(0), g.stockStep(1), g.pauseStep()}
	for i := range 1 + g.rng.IntN(3) {
		steps = append(steps, Step{
			Kind:        StepOrder,
			Key:         fmt.Sprintf("order-%d", i),
			Path:        "/orders",
			BusinessKey: fmt.Sprintf("%s-%d-%d", g.params.KeyPrefix, number, i),
		})
	}
	return append(steps, g.modelStep(1))
}

// turnsTailIndex is the Pareto tail index of the number of turns. The mean is about three times the minimum, with a
// heavy tail.
const turnsTailIndex = 1.5

// minAgentTurns is the minimum number of model calls of an agent program.
const minAgentTurns = 2

func (g *Generator) agentSteps(number int) []Step {
	turns := min(int(minAgentTurns*g.drawPareto(turnsTailIndex)), g.params.MaxTurns)
	subAgentsIndex := -1
	if g.rng.Float64() < g.params.SubAgentRate {
		subAgentsIndex = g.rng.IntN(turns)
	}
	var steps []Step
	for i := range turns {
		steps = append(steps, g.modelStep(i))
		if i == subAgentsIndex {
			steps = append(steps, g.subAgentsStep(number))
		}
		if i < turns-1 {
			steps = append(steps, g.pauseStep())
		}
	}
	return steps
}

func (g *Generator) subAgentsStep(number int) Step {
	s := Step{Kind: StepSubAgents}
	for range 1 + g.rng.IntN(3) {
		s.SubAgents = append(s.SubAgents, Plan{
			Number: number,
			Class:  ClassAgent,
			Steps:  []Step{g.modelStep(0), g.stockStep(1), g.modelStep(1)},
		})
	}
	return s
}

func (g *Generator) modelStep(i int) Step {
	return Step{
		Kind:      StepModel,
		Key:       fmt.Sprintf("model-%d", i),
		Prompt:    g.drawPrompt(),
		MaxTokens: 1 + g.rng.IntN(g.params.MaxTokens),
	}
}

// maxPromptFactor is the maximum ratio of the prompt size to its median.
const maxPromptFactor = 20

func (g *Generator) drawPrompt() string {
	const words = "check the size table and the stock of the jerseys for the order of the club "
	factor := min(math.Exp(g.rng.NormFloat64()), maxPromptFactor)
	size := max(1, int(float64(g.params.PromptBytes)*factor))
	text := fmt.Sprintf("%08x ", g.rng.Uint32()) + strings.Repeat(words, size/len(words)+1)
	return text[:min(size, len(text))]
}

// pauseSigma is the standard deviation of the logarithm of the tool pauses, which are log-normally distributed. The
// 99th percentile is about 33 times the median.
const pauseSigma = 1.5

func (g *Generator) pauseStep() Step {
	d := time.Duration(float64(g.params.PauseMedian) * math.Exp(pauseSigma*g.rng.NormFloat64()))
	return Step{Kind: StepPause, Pause: min(d, g.params.MaxPause)}
}

// drawPareto returns a Pareto-distributed value with minimum 1 and tail index alpha.
func (g *Generator) drawPareto(alpha float64) float64 {
	return math.Pow(1-g.rng.Float64(), -1/alpha)
}

package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Deployment describes a fleet and its users, as in section 1 of the design page.
type Deployment struct {
	Name                    string
	Sites                   []Site
	Groups                  []Group
	HomeShare               []float64 // Share of the programs by home site.
	InterSiteDelaySeconds   float64   // Delay between sites of a region.
	InterRegionDelaySeconds float64   // Delay between regions.
	LatencyWeight           float64
	CacheWeight             float64
}

// Site is a data centre.
type Site struct{ Name, Region string }

// Group is an engine group with the number of its engines at each site.
type Group struct {
	Name    string
	Engines []int // Number of engines by site.
	Mix     []ProgramKind
}

// ProgramKind describes a kind of program in a group's mix.
type ProgramKind struct {
	Class                   string
	Share                   float64
	ClassWeight             float64 // Weight of the Limit record of the class.
	MedianFirstPromptTokens float64
	MedianTurns             float64
	TurnSigma               float64
	MaxTurns                int
	MedianInputTokens       float64 // New tokens of each further call.
	MedianOutputTokens      float64
	MedianPauseSeconds      float64 // Duration of a tool call.
	SubAgentProbability     float64 // Probability that the program starts sub-agents.
}

var agentKind = ProgramKind{Class: "agent", Share: 0.8, ClassWeight: 1, MedianFirstPromptTokens: 4000, MedianTurns: 8, TurnSigma: 1, MaxTurns: 120,
	MedianInputTokens: 500, MedianOutputTokens: 200, MedianPauseSeconds: 1.5, SubAgentProbability: 0.15}

var questionKind = ProgramKind{Class: "question", Share: 0.2, ClassWeight: 1, MedianFirstPromptTokens: 2000, MedianTurns: 1.5, TurnSigma: 0.4, MaxTurns: 4,
	MedianInputTokens: 300, MedianOutputTokens: 150, MedianPauseSeconds: 1, SubAgentProbability: 0}

var stockKind = ProgramKind{Class: "stock", Share: 0.7, ClassWeight: 4, MedianFirstPromptTokens: 1200, MedianTurns: 1.2, TurnSigma: 0.3, MaxTurns: 2,
	MedianInputTokens: 200, MedianOutputTokens: 60, MedianPauseSeconds: 0.3, SubAgentProbability: 0}

var orderKind = ProgramKind{Class: "order", Share: 0.3, ClassWeight: 1, MedianFirstPromptTokens: 3000, MedianTurns: 12, TurnSigma: 0.8, MaxTurns: 100,
	MedianInputTokens: 600, MedianOutputTokens: 220, MedianPauseSeconds: 2, SubAgentProbability: 0.05}

func agentMix() []ProgramKind { return []ProgramKind{agentKind, questionKind} }

func orderMix() []ProgramKind { return []ProgramKind{stockKind, orderKind} }

// Merrimack returns the deployment of Merrimack.
func Merrimack() Deployment {
	return Deployment{
		Name:                    "merrimack",
		Sites:                   []Site{{"falls-a", "merrimack"}, {"falls-b", "merrimack"}, {"harbor-a", "seacoast"}},
		Groups:                  []Group{{"kit-agents", []int{5, 4, 3}, agentMix()}, {"order-desk", []int{1, 1, 1}, orderMix()}},
		HomeShare:               []float64{0.4, 0.3, 0.3},
		InterSiteDelaySeconds:   0.001,
		InterRegionDelaySeconds: 0.012,
		LatencyWeight:           1,
		CacheWeight:             0.5,
	}
}

// Odblask returns the deployment of Odblask.
func Odblask() Deployment {
	return Deployment{
		Name:                    "odblask",
		Sites:                   []Site{{"kalisz-a", "wielkopolska"}, {"poznan-a", "wielkopolska"}, {"warszawa-a", "mazowsze"}},
		Groups:                  []Group{{"agent-models", []int{4, 4, 3}, agentMix()}, {"order-desk", []int{1, 1, 1}, orderMix()}},
		HomeShare:               []float64{0.35, 0.3, 0.35},
		InterSiteDelaySeconds:   0.0015,
		InterRegionDelaySeconds: 0.012,
		LatencyWeight:           1,
		CacheWeight:             2,
	}
}

// turn is one call of a script, followed by a pause or by sub-agents.
type turn struct {
	inputTokens, outputTokens int64
	pauseSeconds              float64
	children                  []*script
}

// script is a program that is generated before the run, so that every policy gets the same work.
type script struct {
	id          string
	kind        ProgramKind
	group       int
	home        int
	arrivalTime float64
	turns       []turn
}

// maxContextTokens is the maximum length of a program's history in tokens.
const maxContextTokens = 100_000

// generator draws scripts from a seeded random source.
type generator struct {
	rng        *rand.Rand
	deployment Deployment
}

func newGenerator(dep Deployment, group int, seed uint64) *generator {
	return &generator{rng: rand.New(rand.NewPCG(seed, uint64(group)+1)), deployment: dep}
}

// drawArrivals draws the programs of a group that arrive before the end, at a mean rate per second.
func (g *generator) drawArrivals(group int, rate, end float64) []*script {
	var scripts []*script
	for arrivalTime := g.rng.ExpFloat64() / rate; arrivalTime < end; arrivalTime += g.rng.ExpFloat64() / rate {
		scripts = append(scripts, g.newScript(group, len(scripts), arrivalTime))
	}
	return scripts
}

func (g *generator) newScript(group, n int, arrivalTime float64) *script {
	s := &script{
		id:          fmt.Sprintf("%d-%d", group, n),
		kind:        g.drawKind(g.deployment.Groups[group].Mix),
		group:       group,
		home:        g.drawHome(),
		arrivalTime: arrivalTime,
	}
	g.addTurns(s, s.kind.MedianTurns)
	if g.rng.Float64() < s.kind.SubAgentProbability {
		g.addChildren(s)
	}
	return s
}

func (g *generator) drawKind(kinds []ProgramKind) ProgramKind {
	x := g.rng.Float64()
	for _, k := range kinds {
		if x < k.Share {
			return k
		}
		x -= k.Share
	}
	return kinds[len(kinds)-1]
}

func (g *generator) drawHome() int {
	x := g.rng.Float64()
	for i, share := range g.deployment.HomeShare {
		if x < share {
			return i
		}
		x -= share
	}
	return 0
}

func (g *generator) addTurns(s *script, medianTurns float64) {
	k := s.kind
	n := min(max(int(g.drawLognormal(medianTurns, k.TurnSigma)+0.5), 1), k.MaxTurns)
	input := g.drawLognormal(k.MedianFirstPromptTokens, 0.4)
	contextTokens := 0.0
	for range n {
		output := min(g.drawLognormal(k.MedianOutputTokens, 0.7), 2000)
		if contextTokens += input + output; contextTokens > maxContextTokens {
			break
		}
		s.turns = append(s.turns, turn{inputTokens: int64(input) + 1, outputTokens: int64(output) + 1, pauseSeconds: g.drawPause(k.MedianPauseSeconds)})
		input = min(g.drawLognormal(k.MedianInputTokens, 1), 8000)
	}
}

// addChildren adds two or three sub-agents to a random turn. The program waits for them.
func (g *generator) addChildren(s *script) {
	t := &s.turns[g.rng.IntN(len(s.turns))]
	for i := range 2 + g.rng.IntN(2) {
		child := &script{id: fmt.Sprintf("%s.%d", s.id, i), kind: s.kind, group: s.group, home: s.home}
		g.addTurns(child, s.kind.MedianTurns/2)
		t.children = append(t.children, child)
	}
}

func (g *generator) drawLognormal(median, sigma float64) float64 {
	return median * math.Exp(sigma*g.rng.NormFloat64())
}

// drawPause draws a tool pause in seconds. The distribution is lognormal, with a Pareto tail from 20 s up to 300 s for
// one pause in twenty.
func (g *generator) drawPause(median float64) float64 {
	if g.rng.Float64() < 0.05 {
		return min(20/math.Pow(1-g.rng.Float64(), 1/1.3), 300)
	}
	return min(g.drawLognormal(median, 1.2), 300)
}

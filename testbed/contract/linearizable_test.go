package contract

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/daemon/platform"
	"jackdawbay.dev/testbed/standin/control"
	platformstandin "jackdawbay.dev/testbed/standin/platform"
)

// registerInput is one operation on the object. Zero as Expected means that the object must not exist.
type registerInput struct {
	Read     bool
	Expected int // Value that the condition names by its version.
	Value    int
}

// registerOutput is what the client reported.
type registerOutput struct {
	Value   int // Value that a read or a conflict showed.
	Stored  bool
	Unknown bool // The answer was lost.
}

// registerModel is a register with conditional writes. A write whose answer was lost may have happened at any later time,
// so that its operation never returns.
var registerModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		current := state.(int)
		in, out := input.(registerInput), output.(registerOutput)
		if in.Read {
			return out.Value == current, current
		}
		holds := in.Expected == current
		if out.Unknown {
			if holds {
				return true, in.Value
			}
			return true, current
		}
		if out.Stored {
			return holds, in.Value
		}
		return !holds && out.Value == current, current
	},
}

// registerClient reads and writes one object and records what it saw.
type registerClient struct {
	id      int
	store   *platform.Client
	start   time.Time
	history []porcupine.Operation
}

func (c *registerClient) read(ctx context.Context) (value int, version uint64) {
	call := time.Since(c.start)
	obj, err := c.store.Get(ctx, platform.KindRoster, "falls-a")
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return 0, 0
	}
	if err == nil {
		if json.Unmarshal(obj.Value, &value) != nil {
			return 0, 0
		}
	}
	c.record(registerInput{Read: true}, registerOutput{Value: value}, call, time.Since(c.start))
	return value, obj.Version
}

func (c *registerClient) write(ctx context.Context, expected, value int, version uint64) {
	in := registerInput{Expected: expected, Value: value}
	call := time.Since(c.start)
	_, err := c.store.Put(ctx, platform.KindRoster, "falls-a", version, value)
	conflict, isConflict := platform.AsConflict(err)
	switch {
	case err == nil:
		c.record(in, registerOutput{Stored: true}, call, time.Since(c.start))
	case isConflict:
		out := registerOutput{}
		if conflict.Current != nil && json.Unmarshal(conflict.Current.Value, &out.Value) != nil {
			return
		}
		c.record(in, out, call, time.Since(c.start))
	case errors.Is(err, platform.ErrOutcomeUnknown):
		c.record(in, registerOutput{Unknown: true}, call, math.MaxInt64)
	}
}

func (c *registerClient) record(in registerInput, out registerOutput, call, end time.Duration) {
	c.history = append(c.history, porcupine.Operation{ClientId: c.id, Input: in, Output: out, Call: int64(call), Return: int64(end)})
}

// Guards against a client that reports a conditional write as failed although it was stored, or as stored although another
// writer won: rosters, journals and grants rely on it. Answers are lost after the effect while several clients race.
func TestConditionalWritesAreLinearizable(t *testing.T) {
	for seed := range uint64(5) {
		history := raceForRegister(t, seed)
		result := porcupine.CheckOperationsTimeout(registerModel, history, time.Minute)
		must.Eq(t, porcupine.Ok, result, must.Sprintf("seed %d, %d operations", seed, len(history)))
	}
}

// Guards against a check that cannot fail: a history in which two clients win the same condition is refused.
func TestDoubleWinIsNotLinearizable(t *testing.T) {
	history := []porcupine.Operation{
		{ClientId: 0, Input: registerInput{Value: 1}, Output: registerOutput{Stored: true}, Call: 0, Return: 10},
		{ClientId: 1, Input: registerInput{Value: 2}, Output: registerOutput{Stored: true}, Call: 0, Return: 10},
	}
	must.Eq(t, porcupine.Illegal, porcupine.CheckOperationsTimeout(registerModel, history, time.Minute))
}

func raceForRegister(t *testing.T, seed uint64) []porcupine.Operation {
	server := platformstandin.New(platformstandin.Config{})
	web := httptest.NewServer(server.Handler())
	defer web.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	const clients, rounds = 4, 30
	start := time.Now()
	var group sync.WaitGroup
	list := make([]*registerClient, clients)
	for i := range list {
		c := &registerClient{id: i, start: start, store: platform.NewClient(platform.Config{
			BaseURL: web.URL, RequestTimeout: 5 * time.Second, WritesPerSecond: 10_000, ReadsPerSecond: 10_000,
		})}
		list[i] = c
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		group.Go(func() {
			for round := range rounds {
				if random.IntN(4) == 0 {
					server.Faults().Set(control.Faults{DropResponseAfterEffect: 1})
				}
				value, version := c.read(ctx)
				c.write(ctx, value, 1+round*clients+i, version)
			}
		})
	}
	group.Wait()
	var history []porcupine.Operation
	for _, c := range list {
		history = append(history, c.history...)
	}
	return history
}

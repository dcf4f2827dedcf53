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

// registerInput is one read or conditional write of the object. If Expected is zero, the object must not exist.
type registerInput struct {
	Read     bool
	Expected int // Value whose version is the condition of the write.
	Value    int
}

// registerOutput is the result that the client reported.
type registerOutput struct {
	Value   int // Value returned by a read or a conflict.
	Stored  bool
	Unknown bool // The response was lost.
}

// registerModel is a register with conditional writes. A write whose response was lost may take effect at any later time, so its
// operation is recorded as never returning.
var registerModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		current := state.(int)
		in, out := input.(registerInput), output.(registerOutput)
		if in.Read {
			return out.Value == current, current
		}
		conditionHolds := in.Expected == current
		if out.Unknown {
			if conditionHolds {
				return true, in.Value
			}
			return true, current
		}
		if out.Stored {
			return conditionHolds, in.Value
		}
		return !conditionHolds && out.Value == current, current
	},
}

// registerClient reads and writes one object and records the operations and their results.
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
// writer succeeded. Rosters, journals and grants rely on this. Several clients write concurrently while responses are lost after
// the effect.
func TestConditionalWritesAreLinearizable(t *testing.T) {
	for seed := range uint64(5) {
		history := runRegisterClients(t, seed)
		result := porcupine.CheckOperationsTimeout(registerModel, history, time.Minute)
		must.Eq(t, porcupine.Ok, result, must.Sprintf("seed %d, %d operations", seed, len(history)))
	}
}

// Guards against a check that cannot fail. A history in which two clients succeed with the same condition must be illegal.
func TestDoubleWinIsNotLinearizable(t *testing.T) {
	history := []porcupine.Operation{
		{ClientId: 0, Input: registerInput{Value: 1}, Output: registerOutput{Stored: true}, Call: 0, Return: 10},
		{ClientId: 1, Input: registerInput{Value: 2}, Output: registerOutput{Stored: true}, Call: 0, Return: 10},
	}
	must.Eq(t, porcupine.Illegal, porcupine.CheckOperationsTimeout(registerModel, history, time.Minute))
}

func runRegisterClients(t *testing.T, seed uint64) []porcupine.Operation {
	server := platformstandin.New(platformstandin.Config{})
	httpServer := httptest.NewServer(server.Handler())
	defer httpServer.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	const clients, rounds = 4, 30
	start := time.Now()
	var wg sync.WaitGroup
	registerClients := make([]*registerClient, clients)
	for i := range registerClients {
		c := &registerClient{id: i, start: start, store: platform.NewClient(platform.Config{
			BaseURL: httpServer.URL, RequestTimeout: 5 * time.Second, WritesPerSecond: 10_000, ReadsPerSecond: 10_000,
		})}
		registerClients[i] = c
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		wg.Go(func() {
			for round := range rounds {
				if random.IntN(4) == 0 {
					server.Faults().Set(control.Faults{DropResponseAfterEffect: 1})
				}
				value, version := c.read(ctx)
				c.write(ctx, value, 1+round*clients+i, version)
			}
		})
	}
	wg.Wait()
	var history []porcupine.Operation
	for _, c := range registerClients {
		history = append(history, c.history...)
	}
	return history
}

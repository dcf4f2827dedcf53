// Command demo starts a small installation on loopback, runs one program to its end and prints each step.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/client"
	"jackdawbay.dev/testbed/fleet"
)

const demoTimeout = time.Minute

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "jackdawbay-demo-")
	if err != nil {
		return err
	}
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	fmt.Println("Starting: 1 platform stand-in, 2 data centres with 2 daemons and 1 engine each, 2 services.")
	f, err := fleet.Start(ctx, fleet.Config{
		BinaryDir:  filepath.Dir(executable),
		Dir:        dir,
		EngineArgs: []string{"--speed=4"},
		DataCentres: []fleet.DataCentre{
			{Name: "falls-a", Region: "merrimack", DaemonCount: 2, EngineCount: 1},
			{Name: "harbor-a", Region: "seacoast", DaemonCount: 2, EngineCount: 1},
		},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Println("All daemons are ready. Logs are in", dir)
	return runProgram(ctx, f)
}

// runProgram runs one program: a model call, a stock check, an order that must not be repeated, and a second model
// call.
func runProgram(ctx context.Context, f *fleet.Fleet) error {
	p, err := f.NewClient().Create(ctx, caller.CreateProgram{Model: fleet.ModelName, BudgetTokens: 100_000})
	if err != nil {
		return err
	}
	fmt.Println("\n1. Program created:", p.ID)
	if err := streamModelCall(ctx, p, "2", "draft", "Draft a jersey for the Falls cycle club. Sizes: 12 medium, 8 large."); err != nil {
		return err
	}
	if err := checkStock(ctx, p); err != nil {
		return err
	}
	if err := placeOrder(ctx, f, p); err != nil {
		return err
	}
	if err := streamModelCall(ctx, p, "5", "confirm", "Tell the captain that the order is placed."); err != nil {
		return err
	}
	ended, err := p.End(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("\n6. Program ended (%s). Turns: %d. Budget: %d of %d tokens spent.\n", ended.EndReason, ended.Sequence, ended.SpentTokens, ended.BudgetTokens)
	fmt.Println("   Its cache on the engine is released. Try `make test` next.")
	return nil
}

func streamModelCall(ctx context.Context, p *client.Program, step, key, text string) error {
	fmt.Printf("\n%s. Model call %q, streamed:\n   ", step, key)
	call := caller.ModelCall{Messages: []caller.Message{{Role: "user", Content: caller.Text(text)}}, MaxTokens: 60}
	start := time.Now()
	r, err := p.RetryUntilFinal(ctx, func(ctx context.Context) (caller.Result, error) {
		return p.InvokeModel(ctx, key, call, func(d caller.Delta) { fmt.Print(d.Text) })
	})
	if err != nil {
		return err
	}
	u := r.Turn.Usage
	fmt.Printf("\n   Placed on %s. Prompt: %d tokens, %d from cache, %d computed. Answer: %d tokens. Time: %d ms.\n",
		r.Upstream, u.PromptTokens, u.CachedTokens, u.PromptTokens-u.CachedTokens, u.CompletionTokens, time.Since(start).Milliseconds())
	return nil
}

func checkStock(ctx context.Context, p *client.Program) error {
	r, err := p.InvokeService(ctx, "stock", caller.ServiceCall{Upstream: fleet.StockCheckService, Method: http.MethodGet, Path: "/stock/jersey-m"})
	if err != nil {
		return err
	}
	fmt.Printf("\n3. Stock check (may be repeated): status %d.\n", r.Turn.Response.Status)
	return nil
}

func placeOrder(ctx context.Context, f *fleet.Fleet, p *client.Program) error {
	body, err := json.Marshal(map[string]any{"business_key": "order-4711", "jerseys": 20})
	if err != nil {
		return err
	}
	call := caller.ServiceCall{Upstream: fleet.PrinterService, Path: "/orders", Body: body}
	sequence, digest := p.Sequence, p.Digest
	r, err := p.InvokeService(ctx, "print", call)
	if err != nil {
		return err
	}
	fmt.Printf("\n4. Printer order (may not be repeated): status %d. Its intent was stored before it was sent.\n", r.Turn.Response.Status)
	// Sends the same request again, as a client does whose response was lost.
	repeat := *p
	repeat.Sequence, repeat.Digest = sequence, digest
	repeated, err := repeat.InvokeService(ctx, "print", call)
	if err != nil {
		return err
	}
	runs, err := f.RunsByBusinessKey(ctx, fleet.PrinterService)
	if err != nil {
		return err
	}
	fmt.Printf("   Sent again with the same call key: answered from the record (repeated=%t). The printer ran it %d time.\n", repeated.Repeated, runs["order-4711"])
	return nil
}

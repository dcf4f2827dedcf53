// Package command implements the verbs of the command-line tool jackdawbay. Each verb has its own file. The exit codes
// are documented in docs/cli.md.
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/records"
	"jackdawbay.dev/cli/platformclient"
)

// Platform is the part of the platform's object API that the verbs use.
type Platform interface {
	Get(ctx context.Context, kind, name string) (platformclient.Object, error)
	List(ctx context.Context, kind, prefix string) ([]platformclient.Object, error)
	// Put writes an object if its version is ifVersion and returns the new version. An ifVersion of 0 creates the
	// object.
	Put(ctx context.Context, kind, name string, ifVersion int64, value json.RawMessage) (int64, error)
}

// Kinds of the platform objects that the tool uses.
const (
	objectKindConfig = "config"
	objectKindStatus = "status"
)

// Globals contains the flags that all verbs have.
type Globals struct {
	Output          string        `short:"o" enum:"text,json" default:"text" help:"Form of the output: text or json."`
	PlatformURL     string        `name:"platform-url" help:"URL of the platform's object API."`
	PlatformKeyFile string        `name:"platform-key-file" help:"File with the key for the platform."`
	RequestTimeout  time.Duration `name:"request-timeout" default:"5s" help:"Longest time for one request to the platform."`
}

// CLI defines the command line.
type CLI struct {
	Globals

	Validate Validate `cmd:"" help:"Check the records in a directory. Does not use the platform."`
	Diff     Diff     `cmd:"" help:"Show what apply would change."`
	Apply    Apply    `cmd:"" help:"Write the records in a directory to the platform."`
	Get      Get      `cmd:"" help:"Show records of the platform."`
	Status   Status   `cmd:"" help:"Show in how many daemons each record is in force."`
	Explain  Explain  `cmd:"" help:"Describe a kind of record or one of its fields."`
	Trace    Trace    `cmd:"" help:"Show what the logs of gateways say of one request or program."`
	Load     Load     `cmd:"" help:"Drive daemons on loopback with a seeded load and check every answer."`
}

// ExitCode is the exit code of the tool.
type ExitCode int

// Exit codes. They are documented in docs/cli.md.
const (
	ExitOK          ExitCode = 0
	ExitFault       ExitCode = 1 // A fault was found, or the request was rejected.
	ExitUsage       ExitCode = 2 // Invalid usage or settings.
	ExitConflict    ExitCode = 3
	ExitUnavailable ExitCode = 4 // The platform is not available.
)

// Reasons of errors of the tool, in addition to the reasons of faults in records.
const (
	ReasonBadUsage            records.Reason = "BadUsage"
	ReasonBadSettings         records.Reason = "BadSettings"
	ReasonInvalidRecords      records.Reason = "InvalidRecords"
	ReasonEmptyDirectory      records.Reason = "EmptyDirectory"
	ReasonStoredRecordInvalid records.Reason = "StoredRecordInvalid"
	ReasonRecordNotFound      records.Reason = "RecordNotFound"
	ReasonConflict            records.Reason = "Conflict"
	ReasonPlatformRestored    records.Reason = "PlatformRestored"
	ReasonPlatformRefused     records.Reason = "PlatformRefused"
	ReasonPlatformUnavailable records.Reason = "PlatformUnavailable"
	ReasonNotInForce          records.Reason = "NotInForce"
	ReasonLoadFailed          records.Reason = "LoadFailed"
)

// Error is an error of a verb with its exit code.
type Error struct {
	Code    ExitCode       `json:"exit_code"`
	Reason  records.Reason `json:"reason"`
	Message string         `json:"message"`
	Faults  records.Faults `json:"faults,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	s := string(e.Reason) + ": " + e.Message
	if len(e.Faults) > 0 {
		s += "\n" + e.Faults.Error()
	}
	return s
}

func newError(code ExitCode, reason records.Reason, format string, args ...any) *Error {
	return &Error{Code: code, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// newFaultsError returns an error that contains faults in records.
func newFaultsError(faults records.Faults) *Error {
	e := newError(ExitFault, ReasonInvalidRecords, "The records have faults. Number of faults: %d. Nothing was written.", len(faults))
	e.Faults = faults
	return e
}

// toError converts any error to an Error with an exit code.
func toError(err error) *Error {
	var e *Error
	var conflict *platformclient.ConflictError
	var unavailable *platformclient.UnavailableError
	var rejected *platformclient.RejectedError
	switch {
	case errors.As(err, &e):
		return e
	case errors.As(err, &conflict):
		return newError(ExitConflict, ReasonConflict, "%s", conflict.Error())
	case errors.As(err, &unavailable):
		return newError(ExitUnavailable, ReasonPlatformUnavailable, "%s", unavailable.Error())
	case errors.As(err, &rejected) && (rejected.Status == 401 || rejected.Status == 403):
		return newError(ExitUsage, ReasonBadSettings, "The platform does not accept the key in the file of --platform-key-file.")
	}
	return newError(ExitFault, ReasonPlatformRefused, "%s", err.Error())
}

// report is the result of a verb. It is written as text or encoded as JSON.
type report interface {
	writeText(w io.Writer)
}

// environment contains the context, flags and connections of a verb, in addition to its own arguments.
type environment struct {
	ctx     context.Context
	globals Globals
	connect func(Globals) (Platform, error)
	report  report // Set by the verb, possibly together with an error.

	progress io.Writer // Progress output of long-running verbs.
}

// Connect returns a client for the platform that the flags specify.
func Connect(g Globals) (Platform, error) {
	if g.PlatformURL == "" || g.PlatformKeyFile == "" {
		return nil, newError(ExitUsage, ReasonBadSettings, "The flags --platform-url and --platform-key-file are required for this command.")
	}
	key, err := os.ReadFile(g.PlatformKeyFile)
	if err != nil {
		return nil, newError(ExitUsage, ReasonBadSettings, "The file of --platform-key-file cannot be read: %s.", err)
	}
	trimmed := strings.TrimSpace(string(key))
	if trimmed == "" || strings.ContainsAny(trimmed, " \t\r\n") {
		return nil, newError(ExitUsage, ReasonBadSettings, "The file of --platform-key-file does not contain exactly one key.")
	}
	c, err := platformclient.New(platformclient.Config{URL: g.PlatformURL, Key: trimmed, RequestTimeout: g.RequestTimeout})
	if err != nil {
		return nil, newError(ExitUsage, ReasonBadSettings, "%s", err.Error())
	}
	return c, nil
}

// Run parses the arguments, runs the verb and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer, connect func(Globals) (Platform, error)) ExitCode {
	var cli CLI
	helpShown := false
	parser, err := kong.New(&cli, kong.Name("jackdawbay"), kong.Description("Manages the records of jackdawbay and drives it with a load."),
		kong.Writers(stdout, stderr), kong.DefaultEnvars("JACKDAWBAY"), kong.Exit(func(int) { helpShown = true }))
	if err != nil {
		return writeOutput(Globals{}, nil, newError(ExitUsage, ReasonBadUsage, "%s", err.Error()), stdout, stderr)
	}
	parsed, err := parser.Parse(args)
	if helpShown {
		return ExitOK
	}
	if err != nil {
		return writeOutput(cli.Globals, nil, newError(ExitUsage, ReasonBadUsage, "%s.", strings.TrimSuffix(err.Error(), ".")), stdout, stderr)
	}
	env := &environment{ctx: ctx, globals: cli.Globals, connect: connect, progress: stderr}
	err = parsed.Run(env)
	return writeOutput(cli.Globals, env.report, err, stdout, stderr)
}

// writeOutput writes the report and the error, and returns the exit code. JSON output is one document with both on the
// standard output.
func writeOutput(g Globals, r report, err error, stdout, stderr io.Writer) ExitCode {
	code := ExitOK
	var e *Error
	if err != nil {
		e = toError(err)
		code = e.Code
	}
	if g.Output == "json" {
		enc := json.NewEncoder(stdout)
		enc.SetIndent("", "  ")
		enc.SetEscapeHTML(false)
		// A write error is ignored, because there is no other output to report it on.
		_ = enc.Encode(struct {
			Result report `json:"result"`
			Error  *Error `json:"error,omitempty"`
		}{r, e})
		return code
	}
	if r != nil {
		r.writeText(stdout)
	}
	if e != nil {
		_, _ = fmt.Fprintln(stderr, e.Error())
	}
	return code
}

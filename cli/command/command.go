// Package command holds the verbs of the command-line tool jackdawbay. Each verb has one file. The exit codes are
// described in docs/cli.md.
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
	// Put writes an object if its version is ifVersion; zero creates it.
	Put(ctx context.Context, kind, name string, ifVersion int64, value json.RawMessage) (int64, error)
}

// Kinds of platform objects that the tool uses.
const (
	objectKindConfig = "config"
	objectKindStatus = "status"
)

// Globals are the flags of all verbs.
type Globals struct {
	Output          string        `short:"o" enum:"text,json" default:"text" help:"Form of the output: text or json."`
	PlatformURL     string        `name:"platform-url" help:"URL of the platform's object API."`
	PlatformKeyFile string        `name:"platform-key-file" help:"File with the key for the platform."`
	RequestTimeout  time.Duration `name:"request-timeout" default:"5s" help:"Longest time for one request to the platform."`
}

// CLI is the grammar of the command line.
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

// Exit codes, as described in docs/cli.md.
const (
	ExitOK          ExitCode = 0
	ExitFault       ExitCode = 1 // A fault was found, or the request was refused.
	ExitUsage       ExitCode = 2 // Bad usage or settings.
	ExitConflict    ExitCode = 3
	ExitUnavailable ExitCode = 4 // The platform is not available.
)

// Reasons of errors of the tool, beside the reasons of faults in records.
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

// Error is an error of a verb with the exit code that it causes.
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

func fail(code ExitCode, reason records.Reason, format string, args ...any) *Error {
	return &Error{Code: code, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// faultError returns an error for faults in records.
func faultError(faults records.Faults) *Error {
	e := fail(ExitFault, ReasonInvalidRecords, "The records have faults. Number of faults: %d. Nothing was written.", len(faults))
	e.Faults = faults
	return e
}

// asError gives every error an exit code.
func asError(err error) *Error {
	var e *Error
	var conflict *platformclient.ConflictError
	var unavailable *platformclient.UnavailableError
	var refused *platformclient.RejectedError
	switch {
	case errors.As(err, &e):
		return e
	case errors.As(err, &conflict):
		return fail(ExitConflict, ReasonConflict, "%s", conflict.Error())
	case errors.As(err, &unavailable):
		return fail(ExitUnavailable, ReasonPlatformUnavailable, "%s", unavailable.Error())
	case errors.As(err, &refused) && (refused.Status == 401 || refused.Status == 403):
		return fail(ExitUsage, ReasonBadSettings, "The platform does not accept the key in the file of --platform-key-file.")
	}
	return fail(ExitFault, ReasonPlatformRefused, "%s", err.Error())
}

// report is the result of a verb. It is printed as text or encoded as JSON.
type report interface {
	text(w io.Writer)
}

// environment is what a verb gets beside its arguments.
type environment struct {
	ctx     context.Context
	globals Globals
	connect func(Globals) (Platform, error)
	report  report // Set by the verb, also when it returns an error.

	progress io.Writer // For verbs that run for a while.
}

// Connect returns the platform of the settings.
func Connect(g Globals) (Platform, error) {
	if g.PlatformURL == "" || g.PlatformKeyFile == "" {
		return nil, fail(ExitUsage, ReasonBadSettings, "The flags --platform-url and --platform-key-file are required for this command.")
	}
	key, err := os.ReadFile(g.PlatformKeyFile)
	if err != nil {
		return nil, fail(ExitUsage, ReasonBadSettings, "The file of --platform-key-file cannot be read: %s.", err)
	}
	trimmed := strings.TrimSpace(string(key))
	if trimmed == "" || strings.ContainsAny(trimmed, " \t\r\n") {
		return nil, fail(ExitUsage, ReasonBadSettings, "The file of --platform-key-file does not hold exactly one key.")
	}
	c, err := platformclient.New(platformclient.Config{URL: g.PlatformURL, Key: trimmed, RequestTimeout: g.RequestTimeout})
	if err != nil {
		return nil, fail(ExitUsage, ReasonBadSettings, "%s", err.Error())
	}
	return c, nil
}

// Run parses the arguments, runs the verb and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer, connect func(Globals) (Platform, error)) ExitCode {
	var cli CLI
	helped := false
	parser, err := kong.New(&cli, kong.Name("jackdawbay"), kong.Description("Manages the records of jackdawbay and drives it with a load."),
		kong.Writers(stdout, stderr), kong.DefaultEnvars("JACKDAWBAY"), kong.Exit(func(int) { helped = true }))
	if err != nil {
		return finish(Globals{}, nil, fail(ExitUsage, ReasonBadUsage, "%s", err.Error()), stdout, stderr)
	}
	parsed, err := parser.Parse(args)
	if helped {
		return ExitOK
	}
	if err != nil {
		return finish(cli.Globals, nil, fail(ExitUsage, ReasonBadUsage, "%s.", strings.TrimSuffix(err.Error(), ".")), stdout, stderr)
	}
	env := &environment{ctx: ctx, globals: cli.Globals, connect: connect, progress: stderr}
	err = parsed.Run(env)
	return finish(cli.Globals, env.report, err, stdout, stderr)
}

// finish prints the result and the error. With JSON, both are in one document on the standard output.
func finish(g Globals, r report, err error, stdout, stderr io.Writer) ExitCode {
	code := ExitOK
	var e *Error
	if err != nil {
		e = asError(err)
		code = e.Code
	}
	if g.Output == "json" {
		enc := json.NewEncoder(stdout)
		enc.SetIndent("", "  ")
		enc.SetEscapeHTML(false)
		// A closed output cannot be reported anywhere.
		_ = enc.Encode(struct {
			Result report `json:"result"`
			Error  *Error `json:"error,omitempty"`
		}{r, e})
		return code
	}
	if r != nil {
		r.text(stdout)
	}
	if e != nil {
		_, _ = fmt.Fprintln(stderr, e.Error())
	}
	return code
}

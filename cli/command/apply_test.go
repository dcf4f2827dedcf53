package command_test

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"jackdawbay.dev/cli/command"
)

// Guards against a second apply of an unchanged directory that writes records, for both example deployments.
func TestApplyExamplesTwice(t *testing.T) {
	for _, name := range []string{"merrimack", "odblask"} {
		t.Run(name, func(t *testing.T) {
			f, dir := newFakePlatform(t), "../../examples/"+name
			code, out, errs := runCommand(t, "validate", dir)
			must.Eq(t, command.ExitOK, code, must.Sprint(out, errs))
			code, out, errs = f.run("apply", dir)
			must.Eq(t, command.ExitOK, code, must.Sprint(out, errs))
			writes := f.putCount
			must.Positive(t, writes)
			code, out, _ = f.run("apply", "--prune", dir)
			must.Eq(t, command.ExitOK, code)
			must.Eq(t, writes, f.putCount)
			must.StrContains(t, out, "unchanged: ")
			must.StrContains(t, f.storedValue("Upstream.stock-checks-"+map[string]string{"merrimack": "falls-a", "odblask": "kalisz-a"}[name]), "jackdawbay/v1")
		})
	}
}

// Guards against writes before the whole directory is validated, and against changes that contradict stored records.
func TestApplyValidatesBeforeFirstWrite(t *testing.T) {
	cases := []struct {
		name  string
		files map[string]string
		code  command.ExitCode
		want  string
	}{
		{"fault in the last file", map[string]string{"a.yaml": dataCentreDocument("a", "r"), "z.yaml": "kind: Car"}, command.ExitFault, "UnknownKind"},
		{"contradiction", map[string]string{"a.yaml": "apiVersion: jackdawbay/v1\nkind: Placement\nmetadata: {name: a}\nspec: {group: none}"}, command.ExitFault, "UnknownGroup"},
		{"contradiction with a stored record", map[string]string{"a.yaml": strings.Replace(limitDocument(2), "name: a", "name: b", 1)}, command.ExitFault, "DuplicateClass"},
		{"record in two files", map[string]string{"a.yaml": dataCentreDocument("a", "r"), "b.yaml": dataCentreDocument("a", "r")}, command.ExitFault, "DuplicateRecord"},
		{"file that would be left out", map[string]string{"a.yaml": dataCentreDocument("a", "r"), "b.yaml.old": ""}, command.ExitFault, "UnknownFile"},
		{"no records", map[string]string{"README.md": ""}, command.ExitFault, "EmptyDirectory"},
		{"old generation", map[string]string{"a.yaml": strings.Replace(limitDocument(2), "name: a", "name: a, generation: 7", 1)}, command.ExitConflict, "generation 1"},
		{"old generation, same content", map[string]string{"a.yaml": strings.Replace(limitDocument(1), "name: a", "name: a, generation: 7", 1)}, command.ExitOK, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFakePlatform(t)
			code, _, errs := f.run("apply", writeDirectory(t, map[string]string{"a.yaml": limitDocument(1)}))
			must.Eq(t, command.ExitOK, code, must.Sprint(errs))
			code, _, errs = f.run("apply", writeDirectory(t, tc.files))
			must.Eq(t, tc.code, code, must.Sprint(errs))
			must.StrContains(t, errs, tc.want)
			must.Eq(t, 1, f.putCount)
		})
	}
}

// Guards against reporting a valid record because the record that it refers to is in an invalid file.
func TestValidateOmitsMissingRecordFaults(t *testing.T) {
	service := "apiVersion: jackdawbay/v2\nkind: Upstream\nmetadata: {name: s}\nspec: {type: service, dataCentre: a, address: \"10.0.0.1:1\", group: g}\n"
	code, _, errs := runCommand(t, "validate", writeDirectory(t, map[string]string{"a.yaml": dataCentreDocument("a", "Falls"), "b.yaml": service}))
	must.Eq(t, command.ExitFault, code)
	must.StrContains(t, errs, "WrongFormat")
	must.StrContains(t, errs, "EngineFieldOnService")
	must.StrNotContains(t, errs, "UnknownDataCentre")
}

// Guards against deletions without --prune, and against a deleted record that comes back because its generation
// decreases.
func TestPruneWritesTombstone(t *testing.T) {
	f := newFakePlatform(t)
	both := writeDirectory(t, map[string]string{"a.yaml": dataCentreDocument("a", "r"), "b.yaml": limitDocument(1)})
	one := writeDirectory(t, map[string]string{"a.yaml": dataCentreDocument("a", "r")})
	steps := []struct {
		args []string
		want string
	}{
		{[]string{"apply", both}, `"generation":1`},
		{[]string{"apply", one}, `"generation":1`},
		{[]string{"diff", "--prune", one}, `"generation":1`},
		{[]string{"apply", "--prune", one}, `"generation":2},"deleted":true`},
		{[]string{"apply", "--prune", one}, `"generation":2},"deleted":true`},
		{[]string{"apply", both}, `"generation":3},"spec"`},
	}
	for _, s := range steps {
		code, out, errs := f.run(s.args...)
		must.Eq(t, command.ExitOK, code, must.Sprint(out, errs))
		must.StrContains(t, f.storedValue("Limit.a"), s.want, must.Sprint(s.args))
	}
}

// Guards against overwriting a concurrent change of another operator, and against a conflict message without both
// values.
func TestApplyConcurrentWrite(t *testing.T) {
	f := newFakePlatform(t)
	f.onPut = func(f *fakePlatform, name string) int {
		f.putObject("config", name, json.RawMessage(`{"apiVersion":"jackdawbay/v1","kind":"Limit","metadata":{"name":"a","generation":1},"spec":{"class":"a","maxTurns":77}}`))
		return 0
	}
	code, _, errs := f.run("apply", writeDirectory(t, map[string]string{"a.yaml": limitDocument(55)}))
	must.Eq(t, command.ExitConflict, code)
	must.StrContains(t, errs, `"maxTurns":77`)
	must.StrContains(t, errs, `"maxTurns":55`)
	must.StrContains(t, f.storedValue("Limit.a"), `"maxTurns":77`)
}

// Guards against a report with the wrong outcome for a record if the platform fails after some of the writes.
func TestApplyPartialFailure(t *testing.T) {
	cases := []struct {
		name    string
		fault   int
		code    command.ExitCode
		outcome string
		stored  bool // The platform stores the record whose write fails.
	}{
		{"outage", http.StatusServiceUnavailable, command.ExitUnavailable, "not applied", false},
		{"rate limit", http.StatusTooManyRequests, command.ExitUnavailable, "not applied", false},
		{"request lost", -2, command.ExitUnavailable, "not applied", false},
		{"response lost", -1, command.ExitOK, "applied", true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFakePlatform(t)
			f.onPut = func(_ *fakePlatform, name string) int {
				if name == "DataCentre.b" {
					return tc.fault
				}
				return 0
			}
			dir := writeDirectory(t, map[string]string{"a.yaml": dataCentreDocument("a", "r"), "b.yaml": dataCentreDocument("b", "r"), "c.yaml": limitDocument(1)})
			code, out, errs := f.run("apply", "-o", "json", dir)
			must.Eq(t, tc.code, code, must.Sprint(out, errs))
			var doc struct {
				Result struct {
					Changes []struct{ Record, Outcome string }
				}
			}
			must.NoError(t, json.Unmarshal([]byte(out), &doc))
			got := map[string]string{}
			for _, c := range doc.Result.Changes {
				got[c.Record] = c.Outcome
			}
			last := "not applied"
			if tc.stored {
				last = "applied"
			}
			must.Eq(t, map[string]string{"DataCentre.a": "applied", "DataCentre.b": tc.outcome, "Limit.a": last}, got)
			must.Eq(t, tc.stored, f.storedValue("DataCentre.b") != "")
			must.Eq(t, tc.stored, f.storedValue("Limit.a") != "")
		})
	}
}

// Guards against losing a change after the platform was restored from a backup, if daemons have a newer generation.
func TestApplyAfterRestore(t *testing.T) {
	f := newFakePlatform(t)
	f.putObject("status", "a", json.RawMessage(`{"data_centre":"a","records":{"Limit.a":{"generation":5}}}`))
	code, _, errs := f.run("apply", writeDirectory(t, map[string]string{"a.yaml": limitDocument(1)}))
	must.Eq(t, command.ExitConflict, code)
	must.StrContains(t, errs, "PlatformRestored")
	must.Eq(t, 0, f.putCount)
}

// Guards against exit codes that differ from docs/cli.md.
func TestExitCodes(t *testing.T) {
	f := newFakePlatform(t)
	dir := writeDirectory(t, map[string]string{"a.yaml": limitDocument(1)})
	wrongKeyFile := writeDirectory(t, map[string]string{"key": "wrong"}) + "/key"
	cases := []struct {
		name string
		args []string
		code command.ExitCode
	}{
		{"unknown verb", []string{"frob"}, command.ExitUsage},
		{"unknown kind", []string{"get", "Car", "--platform-url=" + f.url, "--platform-key-file=" + f.keyFile}, command.ExitUsage},
		{"no platform", []string{"diff", dir}, command.ExitUsage},
		{"wrong key", []string{"diff", dir, "--platform-url=" + f.url, "--platform-key-file=" + wrongKeyFile}, command.ExitUsage},
		{"no record", []string{"get", "Limit", "a", "--platform-url=" + f.url, "--platform-key-file=" + f.keyFile}, command.ExitFault},
		{"platform down", []string{"get", "Limit", "--platform-url=http://127.0.0.1:1", "--platform-key-file=" + f.keyFile}, command.ExitUnavailable},
		{"help", []string{"--help"}, command.ExitOK},
		{"unknown field", []string{"explain", "Limit.colour"}, command.ExitUsage},
		{"missing directory", []string{"validate", dir + "/none"}, command.ExitUsage},
	}
	page, err := os.ReadFile("../../docs/cli.md")
	must.NoError(t, err)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			code, out, errs := runCommand(t, tc.args...)
			must.Eq(t, tc.code, code, must.Sprint(out, errs))
		})
	}
	for _, row := range []string{"| 0 |", "| 1 |", "| 2 |", "| 3 |", "| 4 |"} {
		must.StrContains(t, string(page), row)
	}
}

// Guards against ignoring the environment variables of the platform flags.
func TestEnvironmentVariables(t *testing.T) {
	f := newFakePlatform(t)
	t.Setenv("JACKDAWBAY_PLATFORM_URL", f.url)
	t.Setenv("JACKDAWBAY_PLATFORM_KEY_FILE", f.keyFile)
	code, _, errs := runCommand(t, "apply", writeDirectory(t, map[string]string{"a.yaml": limitDocument(1)}))
	must.Eq(t, command.ExitOK, code, must.Sprint(errs))
	code, out, _ := runCommand(t, "get", "Limit", "a", "-o", "json")
	must.Eq(t, command.ExitOK, code)
	must.StrContains(t, out, `"callTimeoutSeconds": 5`)
}

// Guards against an output of explain that differs from the schema.
func TestExplain(t *testing.T) {
	cases := []struct{ target, version, want string }{
		{"Upstream.routes.timeout", "v2", "Allowed: a duration with a unit"},
		{"Upstream.spec.routes.timeoutSeconds", "v1", "Allowed: a number of seconds"},
		{"Limit", "v1", "spec.callTimeoutSeconds (seconds, unit s)"},
	}
	for _, tc := range cases {
		code, out, _ := runCommand(t, "explain", tc.target, "--version", tc.version)
		must.Eq(t, command.ExitOK, code)
		must.StrContains(t, out, tc.want)
	}
}

// Guards against counting an old generation, or a data centre without a status, as in force.
func TestStatus(t *testing.T) {
	complete := `{"data_centre":"a","members":[{"vm":"x"},{"vm":"y"}],"records":{"DataCentre.a":{"generation":1,"in_force":2,"daemons":2},"Limit.a":{"generation":1,"in_force":2,"daemons":2}}}`
	cases := []struct {
		name, status string
		code         command.ExitCode
		want         string
	}{
		{"in force", complete, command.ExitOK, "in force in 2 of 2"},
		{"not in force in one daemon", strings.Replace(complete, `Limit.a":{"generation":1,"in_force":2`, `Limit.a":{"generation":1,"in_force":1`, 1), command.ExitFault, "in force in 1 of 2"},
		{"old generation", strings.Replace(complete, `Limit.a":{"generation":1`, `Limit.a":{"generation":0`, 1), command.ExitFault, "in force in 0 of 2"},
		{"record not reported", strings.Replace(complete, "Limit.a", "Limit.b", 1), command.ExitFault, "in force in 0 of 2"},
		{"no status", "", command.ExitFault, "Data centre a: no status"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFakePlatform(t)
			code, _, errs := f.run("apply", writeDirectory(t, map[string]string{"a.yaml": dataCentreDocument("a", "r"), "b.yaml": limitDocument(1)}))
			must.Eq(t, command.ExitOK, code, must.Sprint(errs))
			if tc.status != "" {
				f.putObject("status", "a", json.RawMessage(tc.status))
			}
			code, out, errs := f.run("status", "Limit", "a", "--wait", "--timeout=10ms")
			must.Eq(t, tc.code, code, must.Sprint(out, errs))
			must.StrContains(t, out, tc.want)
		})
	}
}

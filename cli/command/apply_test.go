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

// Guards against an apply that changes something although the directory is unchanged, in both deployments.
func TestApplyExamplesTwice(t *testing.T) {
	for _, name := range []string{"merrimack", "odblask"} {
		t.Run(name, func(t *testing.T) {
			f, dir := newFake(t), "../../examples/"+name
			code, out, errs := run(t, "validate", dir)
			must.Eq(t, command.ExitOK, code, must.Sprint(out, errs))
			code, out, errs = f.run("apply", dir)
			must.Eq(t, command.ExitOK, code, must.Sprint(out, errs))
			writes := f.puts
			must.Positive(t, writes)
			code, out, _ = f.run("apply", "--prune", dir)
			must.Eq(t, command.ExitOK, code)
			must.Eq(t, writes, f.puts)
			must.StrContains(t, out, "unchanged: ")
			must.StrContains(t, f.value("Upstream.stock-checks-"+map[string]string{"merrimack": "falls-a", "odblask": "kalisz-a"}[name]), "jackdawbay/v1")
		})
	}
}

// Guards against a write before the whole directory is valid, and against changes that contradict stored records.
func TestApplyRefusesBeforeFirstWrite(t *testing.T) {
	cases := []struct {
		name  string
		files map[string]string
		code  command.ExitCode
		want  string
	}{
		{"fault in the last file", map[string]string{"a.yaml": dataCentre("a", "r"), "z.yaml": "kind: Car"}, command.ExitFault, "UnknownKind"},
		{"contradiction", map[string]string{"a.yaml": "apiVersion: jackdawbay/v1\nkind: Placement\nmetadata: {name: a}\nspec: {group: none}"}, command.ExitFault, "UnknownGroup"},
		{"contradiction with a stored record", map[string]string{"a.yaml": strings.Replace(limitV1(2), "name: a", "name: b", 1)}, command.ExitFault, "DuplicateClass"},
		{"record in two files", map[string]string{"a.yaml": dataCentre("a", "r"), "b.yaml": dataCentre("a", "r")}, command.ExitFault, "DuplicateRecord"},
		{"file that would be left out", map[string]string{"a.yaml": dataCentre("a", "r"), "b.yaml.old": ""}, command.ExitFault, "UnknownFile"},
		{"no records", map[string]string{"README.md": ""}, command.ExitFault, "EmptyDirectory"},
		{"old generation", map[string]string{"a.yaml": strings.Replace(limitV1(2), "name: a", "name: a, generation: 7", 1)}, command.ExitConflict, "generation 1"},
		{"old generation, same content", map[string]string{"a.yaml": strings.Replace(limitV1(1), "name: a", "name: a, generation: 7", 1)}, command.ExitOK, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFake(t)
			code, _, errs := f.run("apply", directory(t, map[string]string{"a.yaml": limitV1(1)}))
			must.Eq(t, command.ExitOK, code, must.Sprint(errs))
			code, _, errs = f.run("apply", directory(t, tc.files))
			must.Eq(t, tc.code, code, must.Sprint(errs))
			must.StrContains(t, errs, tc.want)
			must.Eq(t, 1, f.puts)
		})
	}
}

// Guards against a list of faults that blames correct records because another file cannot be read.
func TestFaultsOfOtherFilesAreLeftOut(t *testing.T) {
	service := "apiVersion: jackdawbay/v2\nkind: Upstream\nmetadata: {name: s}\nspec: {type: service, dataCentre: a, address: \"10.0.0.1:1\", group: g}\n"
	code, _, errs := run(t, "validate", directory(t, map[string]string{"a.yaml": dataCentre("a", "Falls"), "b.yaml": service}))
	must.Eq(t, command.ExitFault, code)
	must.StrContains(t, errs, "WrongFormat")
	must.StrContains(t, errs, "EngineFieldOnService")
	must.StrNotContains(t, errs, "UnknownDataCentre")
}

// Guards against deletions without the flag, and against a deleted record that reverts because its generation falls.
func TestPruneKeepsTombstone(t *testing.T) {
	f := newFake(t)
	both := directory(t, map[string]string{"a.yaml": dataCentre("a", "r"), "b.yaml": limitV1(1)})
	one := directory(t, map[string]string{"a.yaml": dataCentre("a", "r")})
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
		must.StrContains(t, f.value("Limit.a"), s.want, must.Sprint(s.args))
	}
}

// Guards against two operators overwriting each other, and against a conflict that does not show both values.
func TestApplyRace(t *testing.T) {
	f := newFake(t)
	f.onPut = func(f *fakePlatform, name string) int {
		f.set("config", name, json.RawMessage(`{"apiVersion":"jackdawbay/v1","kind":"Limit","metadata":{"name":"a","generation":1},"spec":{"class":"a","maxTurns":77}}`))
		return 0
	}
	code, _, errs := f.run("apply", directory(t, map[string]string{"a.yaml": limitV1(55)}))
	must.Eq(t, command.ExitConflict, code)
	must.StrContains(t, errs, `"maxTurns":77`)
	must.StrContains(t, errs, `"maxTurns":55`)
	must.StrContains(t, f.value("Limit.a"), `"maxTurns":77`)
}

// Guards against a report that names the wrong records as applied when the platform fails in the middle.
func TestApplyFailsInTheMiddle(t *testing.T) {
	cases := []struct {
		name    string
		fault   int
		code    command.ExitCode
		outcome string
		held    bool // The platform holds the record at which the fault was injected.
	}{
		{"outage", http.StatusServiceUnavailable, command.ExitUnavailable, "not applied", false},
		{"rate limit", http.StatusTooManyRequests, command.ExitUnavailable, "not applied", false},
		{"request lost", -2, command.ExitUnavailable, "not applied", false},
		{"answer lost", -1, command.ExitOK, "applied", true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFake(t)
			f.onPut = func(_ *fakePlatform, name string) int {
				if name == "DataCentre.b" {
					return tc.fault
				}
				return 0
			}
			dir := directory(t, map[string]string{"a.yaml": dataCentre("a", "r"), "b.yaml": dataCentre("b", "r"), "c.yaml": limitV1(1)})
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
			if tc.held {
				last = "applied"
			}
			must.Eq(t, map[string]string{"DataCentre.a": "applied", "DataCentre.b": tc.outcome, "Limit.a": last}, got)
			must.Eq(t, tc.held, f.value("DataCentre.b") != "")
			must.Eq(t, tc.held, f.value("Limit.a") != "")
		})
	}
}

// Guards against a change that is lost because the daemons know a newer generation than the restored platform.
func TestApplyAfterRestore(t *testing.T) {
	f := newFake(t)
	f.set("status", "a", json.RawMessage(`{"data_centre":"a","records":{"Limit.a":{"generation":5}}}`))
	code, _, errs := f.run("apply", directory(t, map[string]string{"a.yaml": limitV1(1)}))
	must.Eq(t, command.ExitConflict, code)
	must.StrContains(t, errs, "PlatformRestored")
	must.Eq(t, 0, f.puts)
}

// Guards against exit codes and settings that differ from docs/cli.md.
func TestExitCodes(t *testing.T) {
	f := newFake(t)
	dir := directory(t, map[string]string{"a.yaml": limitV1(1)})
	wrong := directory(t, map[string]string{"key": "wrong"}) + "/key"
	cases := []struct {
		name string
		args []string
		code command.ExitCode
	}{
		{"unknown verb", []string{"frob"}, command.ExitUsage},
		{"unknown kind", []string{"get", "Car", "--platform-url=" + f.url, "--platform-key-file=" + f.keyFile}, command.ExitUsage},
		{"no platform", []string{"diff", dir}, command.ExitUsage},
		{"wrong key", []string{"diff", dir, "--platform-url=" + f.url, "--platform-key-file=" + wrong}, command.ExitUsage},
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
			code, out, errs := run(t, tc.args...)
			must.Eq(t, tc.code, code, must.Sprint(out, errs))
		})
	}
	for _, row := range []string{"| 0 |", "| 1 |", "| 2 |", "| 3 |", "| 4 |"} {
		must.StrContains(t, string(page), row)
	}
}

// Guards against environment variables that the tool ignores.
func TestEnvironment(t *testing.T) {
	f := newFake(t)
	t.Setenv("JACKDAWBAY_PLATFORM_URL", f.url)
	t.Setenv("JACKDAWBAY_PLATFORM_KEY_FILE", f.keyFile)
	code, _, errs := run(t, "apply", directory(t, map[string]string{"a.yaml": limitV1(1)}))
	must.Eq(t, command.ExitOK, code, must.Sprint(errs))
	code, out, _ := run(t, "get", "Limit", "a", "-o", "json")
	must.Eq(t, command.ExitOK, code)
	must.StrContains(t, out, `"callTimeoutSeconds": 5`)
}

// Guards against an explanation that differs from the table of the decoder.
func TestExplain(t *testing.T) {
	cases := []struct{ target, version, want string }{
		{"Upstream.routes.timeout", "v2", "Allowed: a duration with a unit"},
		{"Upstream.spec.routes.timeoutSeconds", "v1", "Allowed: a number of seconds"},
		{"Limit", "v1", "spec.callTimeoutSeconds (seconds, unit s)"},
	}
	for _, tc := range cases {
		code, out, _ := run(t, "explain", tc.target, "--version", tc.version)
		must.Eq(t, command.ExitOK, code)
		must.StrContains(t, out, tc.want)
	}
}

// Guards against a status that counts an old generation or a silent data centre as in force.
func TestStatus(t *testing.T) {
	full := `{"data_centre":"a","members":[{"vm":"x"},{"vm":"y"}],"records":{"DataCentre.a":{"generation":1,"in_force":2,"daemons":2},"Limit.a":{"generation":1,"in_force":2,"daemons":2}}}`
	cases := []struct {
		name, status string
		code         command.ExitCode
		want         string
	}{
		{"in force", full, command.ExitOK, "in force in 2 of 2"},
		{"one daemon lacks it", strings.Replace(full, `Limit.a":{"generation":1,"in_force":2`, `Limit.a":{"generation":1,"in_force":1`, 1), command.ExitFault, "in force in 1 of 2"},
		{"old generation", strings.Replace(full, `Limit.a":{"generation":1`, `Limit.a":{"generation":0`, 1), command.ExitFault, "in force in 0 of 2"},
		{"record not reported", strings.Replace(full, "Limit.a", "Limit.b", 1), command.ExitFault, "in force in 0 of 2"},
		{"no status", "", command.ExitFault, "Data centre a: no status"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFake(t)
			code, _, errs := f.run("apply", directory(t, map[string]string{"a.yaml": dataCentre("a", "r"), "b.yaml": limitV1(1)}))
			must.Eq(t, command.ExitOK, code, must.Sprint(errs))
			if tc.status != "" {
				f.set("status", "a", json.RawMessage(tc.status))
			}
			code, out, errs := f.run("status", "Limit", "a", "--wait", "--timeout=10ms")
			must.Eq(t, tc.code, code, must.Sprint(out, errs))
			must.StrContains(t, out, tc.want)
		})
	}
}

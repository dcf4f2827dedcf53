package command_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"jackdawbay.dev/cli/command"
)

const gatewayLog = `time=2026-03-03T06:11:54Z level=INFO msg="budget does not hold the turn" role=gateway vm=front-1 request=aa11 program=p1 spent=900 worst=570 budget=1140 charges=3
time=2026-03-03T06:11:54Z level=INFO msg=request role=gateway vm=front-1 request=aa11 program=p1 route=r version=4 upstream="" running=0 report_age=0s missing=0 sends=0 events=0 status=402 outcome=program_budget_exhausted begin=41ms keep=0s first=0s took=41ms
time=2026-03-03T06:11:55Z level=INFO msg=request role=gateway vm=front-2 request=bb22 program=p2 route=r version=4 upstream=i-9 running=2 report_age=30ms missing=0 sends=1 events=0 status=502 outcome=response_lost begin=0s keep=0s first=0s took=48ms
time=2026-03-03T06:11:56Z level=WARN msg="turns refused" role=gateway vm=front-2 status=503 outcome=history_unavailable version=4 cause=members_silent view=3 set=1/2 answering=1/3 write=0 read=2 silent="store-1/d1 4.2s, store-2/d2 9s disk gone" owing="" view_age=2s view_source=store store_answer_age=1.5s longest=1ms turns=3 requests="cc33:p3 dd44:p4 ee55:p3"
time=2026-03-03T06:11:57Z level=WARN msg="turns refused" role=gateway vm=front-2 status=503 outcome=history_unavailable version=4 cause=members_silent view=3 set=1/2 answering=1/3 write=0 read=2 silent="" owing="" view_age=2s view_source=store store_answer_age=1.5s longest=1ms turns=2 requests="ff66:p6 ff67:p6" organisations="- S%C3%BCd+%221%22"
time=2026-03-03T06:11:58Z level=INFO msg=request role=gateway vm=front-2 request=k1 program=p7 route=r version=9 upstream="" running=0 report_age=0s missing=0 sends=0 events=0 status=401 outcome=unauthenticated begin=0s keep=0s first=0s took=0s organisation="" auth=unknown
time=2026-03-03T06:11:58Z level=INFO msg=request role=gateway vm=front-2 request=k2 program=p7 route=r version=9 upstream="" running=0 report_age=0s missing=0 sends=0 events=0 status=401 outcome=unauthenticated begin=0s keep=0s first=0s took=0s organisation="" auth=missing
time=2026-03-03T06:11:58Z level=INFO msg=request role=gateway vm=front-2 request=k3 program=p7 route=r version=9 upstream="" running=0 report_age=0s missing=0 sends=0 events=0 status=401 outcome=unauthenticated begin=0s keep=0s first=0s took=0s organisation="" auth=malformed
time=2026-03-03T06:11:58Z level=INFO msg=request role=gateway vm=front-2 request=k4 program=p7 route=open version=9 upstream=i-9 running=2 report_age=30ms missing=0 sends=1 events=0 status=200 outcome=complete begin=0s keep=0s first=0s took=48ms organisation="" auth=unknown
time=2026-03-03T06:11:58Z level=INFO msg=request role=gateway vm=front-2 request=k5 program=p7 route=r version=9 upstream=i-9 running=2 report_age=30ms missing=0 sends=1 events=0 status=200 outcome=complete begin=0s keep=0s first=0s took=48ms organisation="Süd \"1\"" auth=valid
`

// Guards against a trace that omits lines, includes lines of other requests, or does not state the cause.
func TestTrace(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	must.NoError(t, os.WriteFile(file, []byte(gatewayLog), 0o600))
	code, out, _ := runCommand(t, "trace", "aa11", file)
	must.Eq(t, command.ExitOK, code)
	must.StrContains(t, out, "spent=900")
	must.StrContains(t, out, "The budget of the program does not cover the call.")
	must.StrContains(t, out, "It was not sent to an upstream.")
	must.StrNotContains(t, out, "bb22")
	code, out, _ = runCommand(t, "trace", "p2", file)
	must.Eq(t, command.ExitOK, code)
	must.StrContains(t, out, "last to upstream i-9")
	must.StrContains(t, out, "may have run")
	code, out, _ = runCommand(t, "trace", "p3", file)
	must.Eq(t, command.ExitOK, code)
	must.StrContains(t, out, "Request cc33: history_unavailable at gateway front-2: status 503")
	must.StrContains(t, out, "Request ee55:")
	must.StrNotContains(t, out, "Request dd44:")
	must.StrContains(t, out, "Cause members_silent: of set 1/2 of view 3, 1/3 members responded; a write needs 0 and a read 2.")
	must.StrContains(t, out, "Unresponsive: store-1/d1 4.2s, store-2/d2 9s disk gone.")
	code, _, errs := runCommand(t, "trace", "a", file)
	must.Eq(t, command.ExitFault, code, must.Sprint("part of an id must not match"))
	must.StrContains(t, errs, "No line")
}

// Guards against a trace that does not explain why a request was answered 401, or that omits the organisation.
func TestTraceExplainsAuthentication(t *testing.T) {
	file := filepath.Join(t.TempDir(), "log")
	must.NoError(t, os.WriteFile(file, []byte(gatewayLog), 0o600))
	for id, want := range map[string]string{
		"k1":   "Request k1: unauthenticated at gateway front-2: status 401 after 0s. The bearer key is missing or unknown. The key belongs to no organisation of configuration version 9, which the gateway used: it was never added, it was withdrawn,",
		"k2":   "The request had no header Authorization, and the route r is not public. It was not sent to an upstream.",
		"k3":   `The request had several headers Authorization or one that is not "Bearer KEY", and the route r is not public. It was not sent to an upstream.`,
		"k4":   "No organisation: the key was unknown, and the route open is public.",
		"k5":   `Organisation "Süd \"1\"".`,
		"ff67": `Organisation "Süd \"1\"".`,
	} {
		code, out, _ := runCommand(t, "trace", id, file)
		must.Eq(t, command.ExitOK, code)
		must.StrContains(t, out, want)
	}
	for _, id := range []string{"ff66", "aa11", "cc33"} {
		code, out, _ := runCommand(t, "trace", id, file)
		must.Eq(t, command.ExitOK, code)
		must.StrNotContains(t, out, "Organisation", must.Sprint(id))
		must.StrNotContains(t, out, "organisation:", must.Sprint(id))
	}
}

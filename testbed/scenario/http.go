package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"jackdawbay.dev/testbed/relay"
	"jackdawbay.dev/testbed/standin/control"
)

// requestTimeout is the default timeout of a request; the option timeout= of the command http overrides it.
const requestTimeout = 10 * time.Second

// maxResponseBytes is the maximum number of bytes that are read from a response body.
const maxResponseBytes = 64 << 20

// httpClient opens a connection for each request, because a reused connection fails when a process restarts.
var httpClient = &http.Client{
	Transport:     &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// httpCheck is a condition on a response. Its path is "body", "header.NAME" or a JSON path.
type httpCheck struct {
	path     string
	operator string
	want     string
}

// httpCall is a parsed http command.
type httpCall struct {
	method, url, bodyFile string
	headers               http.Header
	timeout               time.Duration
	checks                []httpCheck
	captures              [][2]string // Pairs of variable name and response path.
	expectNoResponse      bool
	wantStatus            string
}

var (
	checkPattern    = regexp.MustCompile(`^(.*?)(==|!=|=~)((?s).*)$`)
	variablePattern = regexp.MustCompile(`^([A-Za-z_][A-Za-z0-9_]*):=(.+)$`)
)

// cmdHTTP implements "http METHOD URL [FILE] [OPTION|CHECK...]". It sends a request with the content of FILE as its
// body.
//
// Options: send:NAME=VALUE sets a request header. timeout=DURATION sets the timeout. status=CODE expects this status;
// by default the status must be 2xx. status=none expects that no complete response arrives. VAR:=PATH sets a variable
// from the response.
//
// Checks: PATH==VALUE, PATH!=VALUE and PATH=~REGEXP. PATH is "body", "header.NAME" or a JSON path such as items.0.name
// or items.length. A backslash escapes a dot in a key.
//
// The response body is also available to the command stdout.
func (h *harness) cmdHTTP(ts *testscript.TestScript, args []string) error {
	call, err := parseHTTP(args)
	if err != nil {
		return err
	}
	var body string
	if call.bodyFile != "" {
		body = ts.ReadFile(call.bodyFile)
	}
	response, raw, err := call.send(body)
	if call.expectNoResponse {
		if err == nil {
			return errors.Newf("got the status %d instead of no response", response.StatusCode)
		}
		return nil
	}
	if err != nil {
		return err
	}
	_, _ = ts.Stdout().Write(raw)
	if name := h.findKey(raw); name != "" {
		return errors.Newf("%s %s: the response contains the %s key", call.method, call.url, name)
	}
	if err := call.checkResponse(response, raw); err != nil {
		return errors.Wrapf(err, "%s %s: %d %.500s", call.method, call.url, response.StatusCode, raw)
	}
	for _, v := range call.captures {
		value, err := responseValue(response, raw, v[1])
		if err != nil {
			return err
		}
		ts.Setenv(v[0], value)
	}
	return nil
}

func parseHTTP(args []string) (httpCall, error) {
	if len(args) < 2 {
		return httpCall{}, usageError("http METHOD URL [FILE] [OPTION|CHECK...]")
	}
	call := httpCall{method: args[0], url: args[1], headers: http.Header{}, timeout: requestTimeout}
	if !strings.HasPrefix(call.url, "http://127.") {
		return httpCall{}, usageError("the URL %q is not on loopback", call.url)
	}
	for i, arg := range args[2:] {
		if err := call.parseArgument(i, arg); err != nil {
			return httpCall{}, err
		}
	}
	return call, nil
}

func (call *httpCall) parseArgument(i int, arg string) error {
	if header, ok := strings.CutPrefix(arg, "send:"); ok {
		name, value, found := strings.Cut(header, "=")
		if !found {
			return usageError("%q is not send:NAME=VALUE", arg)
		}
		call.headers.Set(name, value)
		return nil
	}
	if m := variablePattern.FindStringSubmatch(arg); m != nil {
		call.captures = append(call.captures, [2]string{m[1], m[2]})
		return nil
	}
	if m := checkPattern.FindStringSubmatch(arg); m != nil && m[1] != "" {
		if _, err := regexp.Compile(m[3]); m[2] == "=~" && err != nil {
			return usageError("%v", err)
		}
		call.checks = append(call.checks, httpCheck{m[1], m[2], m[3]})
		return nil
	}
	if text, ok := strings.CutPrefix(arg, "timeout="); ok {
		d, err := time.ParseDuration(text)
		if err != nil {
			return usageError("%v", err)
		}
		call.timeout = d
		return nil
	}
	if code, ok := strings.CutPrefix(arg, "status="); ok {
		call.wantStatus, call.expectNoResponse = code, code == "none"
		if _, err := strconv.Atoi(code); err != nil && !call.expectNoResponse {
			return usageError("%q is not a status", code)
		}
		return nil
	}
	if i != 0 || strings.Contains(arg, "=") {
		return usageError("%q is neither an option nor a check", arg)
	}
	call.bodyFile = arg
	return nil
}

func (call *httpCall) send(body string) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), call.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, call.method, call.url, strings.NewReader(body))
	if err != nil {
		return nil, nil, usageError("%v", err)
	}
	request.Header = call.headers.Clone()
	if body != "" && request.Header.Get("Content-Type") == "" {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return nil, nil, errors.Wrap(err, "no response")
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, nil, errors.Wrap(err, "incomplete response")
	}
	return response, raw, nil
}

func (call *httpCall) checkResponse(response *http.Response, raw []byte) error {
	switch {
	case call.wantStatus == "" && response.StatusCode/100 != 2:
		return errors.New("the status is not 2xx")
	case call.wantStatus != "" && call.wantStatus != strconv.Itoa(response.StatusCode):
		return errors.Newf("the status is not %s", call.wantStatus)
	}
	for _, c := range call.checks {
		got, err := responseValue(response, raw, c.path)
		if err != nil {
			return err
		}
		if !c.isSatisfied(got) {
			return errors.Newf("%s is %q: %s%s%s does not hold", c.path, got, c.path, c.operator, c.want)
		}
	}
	return nil
}

func (c httpCheck) isSatisfied(got string) bool {
	switch c.operator {
	case "==":
		return got == c.want
	case "!=":
		return got != c.want
	default:
		return regexp.MustCompile(c.want).MatchString(got)
	}
}

func responseValue(response *http.Response, raw []byte, path string) (string, error) {
	if path == "body" {
		return string(raw), nil
	}
	if name, ok := strings.CutPrefix(path, "header."); ok {
		return response.Header.Get(name), nil
	}
	return jsonValue(raw, path)
}

// jsonValue returns the value at a JSON path. Strings are returned unquoted, all other values as JSON.
func jsonValue(raw []byte, path string) (string, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var value any
	if err := d.Decode(&value); err != nil {
		return "", errors.Wrap(err, "the body is not JSON")
	}
	for _, key := range splitPath(path) {
		child, ok := childValue(value, key)
		if !ok {
			return "", errors.Newf("the body has no %s (at %q)", path, key)
		}
		value = child
	}
	if text, ok := value.(string); ok {
		return text, nil
	}
	text, err := json.Marshal(value)
	return string(text), errors.Wrap(err, "encode the value")
}

func childValue(value any, key string) (any, bool) {
	switch v := value.(type) {
	case map[string]any:
		child, ok := v[key]
		if !ok && key == "length" {
			return len(v), true
		}
		return child, ok
	case []any:
		if key == "length" {
			return len(v), true
		}
		i, err := strconv.Atoi(key)
		if err != nil || i < 0 || i >= len(v) {
			return nil, false
		}
		return v[i], true
	}
	return nil, false
}

// splitPath splits a JSON path at dots that are not escaped by a backslash.
func splitPath(path string) []string {
	const placeholder = "\x00"
	keys := strings.Split(strings.ReplaceAll(path, `\.`, placeholder), ".")
	for i := range keys {
		keys[i] = strings.ReplaceAll(keys[i], placeholder, ".")
	}
	return keys
}

// sendControl sends a request to the control interface of a process and decodes the response into result.
func (h *harness) sendControl(name, method, path string, body, result any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode the body")
	}
	call := httpCall{
		method: method, url: "http://" + h.addresses[name] + path, headers: http.Header{}, timeout: requestTimeout,
	}
	response, responseBody, err := call.send(string(raw))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("%s %s: %d %.500s", method, path, response.StatusCode, responseBody)
	}
	return errors.Wrapf(json.Unmarshal(responseBody, result), "%s %s", method, path)
}

// forEachRunning calls visit with the name of every running process of a kind. It returns a usage error if there is
// none.
func (h *harness) forEachRunning(kind string, visit func(name string) error) error {
	found := false
	for name, p := range h.processes {
		if p.kind != kind || !p.isRunning() {
			continue
		}
		found = true
		if err := visit(name); err != nil {
			return err
		}
	}
	if !found {
		return usageError("no %s is running", kind)
	}
	return nil
}

// updateRelayRules replaces the rules of every running relay with the result of update.
func (h *harness) updateRelayRules(update func([]relay.Rule) []relay.Rule) error {
	const path = "/control/links"
	return h.forEachRunning("relay", func(name string) error {
		var rules []relay.Rule
		if err := h.sendControl(name, http.MethodGet, path, nil, &rules); err != nil {
			return err
		}
		return h.sendControl(name, http.MethodPut, path, update(rules), &rules)
	})
}

// cmdCut implements "cut FROM TO". It blocks traffic from an address prefix to a target prefix. The new rule has
// priority over the existing rules of every relay.
func (h *harness) cmdCut(_ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return usageError("cut FROM TO")
	}
	return h.updateRelayRules(func(rules []relay.Rule) []relay.Rule {
		return append([]relay.Rule{{From: args[0], To: args[1], Mode: relay.Blackhole}}, rules...)
	})
}

// cmdHeal implements "heal". It removes the blackhole rules of every relay and leaves rules with a delay or a rate in
// place.
func (h *harness) cmdHeal(_ *testscript.TestScript, args []string) error {
	if len(args) != 0 {
		return usageError("heal")
	}
	return h.updateRelayRules(func(rules []relay.Rule) []relay.Rule {
		remaining := []relay.Rule{}
		for _, rule := range rules {
			if rule.Mode != relay.Blackhole {
				remaining = append(remaining, rule)
			}
		}
		return remaining
	})
}

// cmdOutage implements "outage on|off". It starts or ends an outage of every platform stand-in and leaves its other
// faults unchanged.
func (h *harness) cmdOutage(_ *testscript.TestScript, args []string) error {
	if len(args) != 1 || args[0] != "on" && args[0] != "off" {
		return usageError("outage on|off")
	}
	const path = "/control/faults"
	return h.forEachRunning("platform", func(name string) error {
		var f control.Faults
		if err := h.sendControl(name, http.MethodGet, path, nil, &f); err != nil {
			return err
		}
		f.Outage = args[0] == "on"
		return h.sendControl(name, http.MethodPut, path, f, &f)
	})
}

// cmdFault implements "fault NAME JSON". It sets the fault state of a stand-in.
func (h *harness) cmdFault(_ *testscript.TestScript, args []string) error {
	if len(args) != 2 || !json.Valid([]byte(args[1])) {
		return usageError("fault NAME JSON")
	}
	if _, err := h.lookupProcess(args, "fault NAME JSON"); err != nil {
		return err
	}
	return h.sendControl(args[0], http.MethodPut, "/control/faults", json.RawMessage(args[1]), &control.Faults{})
}

// cmdLedger implements "ledger NAME KEY COUNT" and "ledger NAME KEY atmost COUNT". It checks how often a service
// stand-in has run the business key KEY.
func (h *harness) cmdLedger(_ *testscript.TestScript, args []string) error {
	const synopsis = "ledger NAME KEY COUNT|atmost COUNT"
	p, err := h.lookupProcess(args, synopsis)
	if err != nil {
		return err
	}
	atMost := len(args) == 4 && args[2] == "atmost"
	want, err := strconv.Atoi(args[len(args)-1])
	if err != nil || want < 0 || !atMost && len(args) != 3 || p.kind != "service" {
		return usageError("%s", synopsis)
	}
	var body struct {
		Runs map[string]int `json:"runs"`
	}
	if err := h.sendControl(args[0], http.MethodGet, "/control/runs", nil, &body); err != nil {
		return err
	}
	got := body.Runs[args[1]]
	if got > want || got < want && !atMost {
		return errors.Newf("%s has %d runs of %s, expected %s", args[0], got, args[1], strings.Join(args[2:], " "))
	}
	return nil
}

package command

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"

	"jackdawbay.dev/api/errkind"
)

// Trace prints the lines of gateway and replica logs that belong to a request or program, and summarises its requests.
type Trace struct {
	ID    string   `arg:"" help:"Id of a request or of a program."`
	Files []string `arg:"" optional:"" name:"file" help:"Log files; the standard input without any."`
}

// maxLogLineBytes bounds the length of a log line.
const maxLogLineBytes = 1 << 20

// logLine contains the key-value pairs of a log line.
type logLine struct {
	values map[string]string
}

type traceReport struct {
	ID           string            `json:"id"`
	Lines        []string          `json:"lines"`
	Requests     map[string]string `json:"requests"` // Summary of each request by request ID.
	requestOrder []string
}

func (r traceReport) writeText(w io.Writer) {
	for _, l := range r.Lines {
		_, _ = fmt.Fprintln(w, l)
	}
	for _, id := range r.requestOrder {
		_, _ = fmt.Fprintf(w, "\nRequest %s: %s\n", id, r.Requests[id])
	}
}

// Run executes the verb.
func (t *Trace) Run(env *environment) error {
	out := traceReport{ID: t.ID, Lines: []string{}, Requests: map[string]string{}}
	read := func(r io.Reader) error {
		lines := bufio.NewScanner(r)
		lines.Buffer(nil, maxLogLineBytes)
		for lines.Scan() {
			out.addLine(lines.Text())
		}
		return lines.Err()
	}
	if len(t.Files) == 0 {
		if err := read(os.Stdin); err != nil {
			return newError(ExitUsage, ReasonBadUsage, "The standard input cannot be read: %s.", err)
		}
	}
	for _, name := range t.Files {
		f, err := os.Open(name)
		if err != nil {
			return newError(ExitUsage, ReasonBadUsage, "The log cannot be read: %s.", err)
		}
		err = read(f)
		_ = f.Close() // The error is ignored, because the file was only read.
		if err != nil {
			return newError(ExitUsage, ReasonBadUsage, "The log %s cannot be read: %s.", name, err)
		}
	}
	env.report = out
	if len(out.Lines) == 0 {
		return newError(ExitFault, ReasonRecordNotFound, "No line of the logs names %s.", t.ID)
	}
	return nil
}

func (r *traceReport) addLine(text string) {
	if !strings.Contains(text, r.ID) {
		return
	}
	l := parseLogLine(text)
	rejected := l.rejectedRequests(r.ID)
	if l.values["request"] != r.ID && l.values["program"] != r.ID && len(rejected) == 0 {
		return
	}
	r.Lines = append(r.Lines, text)
	for _, id := range rejected {
		r.setSummary(id.request, l.rejectionSummary(id.organisation))
	}
	if l.values["msg"] == "request" {
		r.setSummary(l.values["request"], l.requestSummary())
	}
}

func (r *traceReport) setSummary(id, summary string) {
	if _, seen := r.Requests[id]; !seen {
		r.requestOrder = append(r.requestOrder, id)
	}
	r.Requests[id] = summary
}

// rejectedRequest is one request of a line about several rejected turns.
type rejectedRequest struct {
	request      string
	organisation string // Empty if there is none.
}

// rejectedRequests returns the requests with the given request or program ID in a line about several rejected turns. Such a
// line lists them as pairs of the form REQUEST:PROGRAM. If any of them has an organisation, the line lists the organisations in
// the same order, escaped as in a query, with "-" for none.
func (l logLine) rejectedRequests(id string) []rejectedRequest {
	var found []rejectedRequest
	organisations := strings.Fields(l.values["organisations"])
	for i, pair := range strings.Fields(l.values["requests"]) {
		request, program, _ := strings.Cut(pair, ":")
		if request != id && program != id {
			continue
		}
		r := rejectedRequest{request: request}
		if i < len(organisations) && organisations[i] != "-" {
			if name, err := url.QueryUnescape(organisations[i]); err == nil {
				r.organisation = name
			}
		}
		found = append(found, r)
	}
	return found
}

// rejectionSummary describes why several turns were rejected together.
func (l logLine) rejectionSummary(organisation string) string {
	v := l.values
	s := fmt.Sprintf("%s at gateway %s: status %s after at most %s. It was not sent to an upstream.", v["outcome"], v["vm"], v["status"], v["longest"])
	if properties := errkind.Lookup(errkind.Kind(v["outcome"])); properties.Status == parseStatus(v["status"]) {
		s += " " + properties.Meaning
	}
	s += fmt.Sprintf(" Cause %s: of set %s of view %s, %s members responded; a write needs %s and a read %s.",
		v["cause"], v["set"], v["view"], v["answering"], v["write"], v["read"])
	if v["silent"] != "" {
		s += " Unresponsive: " + v["silent"] + "."
	}
	if organisation != "" {
		s += fmt.Sprintf(" Organisation %q.", organisation)
	}
	return s + fmt.Sprintf(" The gateway received the view %s earlier; the last store response about it was received %s earlier.", v["view_age"], v["store_answer_age"])
}

// requestSummary describes the outcome of a request.
func (l logLine) requestSummary() string {
	v := l.values
	s := fmt.Sprintf("%s at gateway %s: status %s after %s.", v["outcome"], v["vm"], v["status"], v["took"])
	if properties := errkind.Lookup(errkind.Kind(v["outcome"])); v["outcome"] != "internal" && properties.Status == parseStatus(v["status"]) {
		s += " " + properties.Meaning
	}
	s += l.organisationSummary()
	if v["sends"] == "0" {
		return s + " It was not sent to an upstream." + l.durationSummary()
	}
	s += fmt.Sprintf(" Sent %s time(s), last to upstream %s, which had about %s running requests in a report %s old and did not have %s tokens of the prompt in its cache.",
		v["sends"], v["upstream"], v["running"], v["report_age"], v["missing"])
	return s + l.durationSummary()
}

// organisationSummary describes the organisation of a request and the check of its key. It is empty for a gateway whose
// configuration has no organisations.
func (l logLine) organisationSummary() string {
	v := l.values
	route := fmt.Sprintf("route %s", v["route"])
	if v["status"] != strconv.Itoa(http.StatusUnauthorized) {
		if v["organisation"] != "" {
			return fmt.Sprintf(" Organisation %q.", v["organisation"])
		}
		if v["auth"] != "" {
			return fmt.Sprintf(" No organisation: the key was %s, and the %s is public.", v["auth"], route)
		}
		return ""
	}
	switch v["auth"] {
	case "missing":
		return fmt.Sprintf(" The request had no header Authorization, and the %s is not public.", route)
	case "malformed":
		return fmt.Sprintf(" The request had several headers Authorization or one that is not \"Bearer KEY\", and the %s is not public.", route)
	case "unknown":
		return fmt.Sprintf(" The key belongs to no organisation of configuration version %s, which the gateway used: it was never added, it was withdrawn,"+
			" it is in a later version, or the entry was left out (the gateway logs \"invalid entry in the configuration\" for that version).", v["version"])
	}
	return ""
}

// parseStatus returns the status in text, or 0 if it is not a number.
func parseStatus(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

func (l logLine) durationSummary() string {
	v := l.values
	return fmt.Sprintf(" Time: charge and history %s, first byte of the upstream %s, storing the turn %s.", v["begin"], v["first"], v["keep"])
}

// parseLogLine parses the key-value pairs of a line. It ignores words that are not pairs.
func parseLogLine(text string) logLine {
	l := logLine{values: map[string]string{}}
	for text = strings.TrimSpace(text); text != ""; text = strings.TrimLeft(text, " ") {
		word, _, _ := strings.Cut(text, " ")
		key, rawValue, ok := strings.Cut(word, "=")
		if !ok {
			text = text[len(word):]
			continue
		}
		value := rawValue
		used := len(word)
		if strings.HasPrefix(rawValue, `"`) {
			quoted, err := strconv.QuotedPrefix(text[len(key)+1:])
			if err == nil {
				used = len(key) + 1 + len(quoted)
				value, err = strconv.Unquote(quoted)
			}
			if err != nil {
				value = rawValue
			}
		}
		l.values[key] = value
		text = text[used:]
	}
	return l
}

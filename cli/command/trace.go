package command

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"jackdawbay.dev/api/errkind"
)

// Trace shows what the logs of gateways and replicas say of one request or program.
type Trace struct {
	ID    string   `arg:"" help:"Id of a request or of a program."`
	Files []string `arg:"" optional:"" name:"file" help:"Log files; the standard input without any."`
}

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

// logLine is one line of a log as its keys and values.
type logLine struct {
	values map[string]string
}

type traceReport struct {
	ID       string            `json:"id"`
	Lines    []string          `json:"lines"`
	Requests map[string]string `json:"requests"` // What happened to each request, by its id.
	order    []string
}

func (r traceReport) text(w io.Writer) {
	for _, l := range r.Lines {
		_, _ = fmt.Fprintln(w, l)
	}
	for _, id := range r.order {
		_, _ = fmt.Fprintf(w, "\nRequest %s: %s\n", id, r.Requests[id])
	}
}

// Run implements the verb.
func (t *Trace) Run(env *environment) error {
	out := traceReport{ID: t.ID, Lines: []string{}, Requests: map[string]string{}}
	read := func(r io.Reader) error {
		lines := bufio.NewScanner(r)
		lines.Buffer(nil, maxLogLine)
		for lines.Scan() {
			out.add(lines.Text())
		}
		return lines.Err()
	}
	if len(t.Files) == 0 {
		if err := read(os.Stdin); err != nil {
			return fail(ExitUsage, ReasonBadUsage, "The standard input cannot be read: %s.", err)
		}
	}
	for _, name := range t.Files {
		f, err := os.Open(name)
		if err != nil {
			return fail(ExitUsage, ReasonBadUsage, "The log cannot be read: %s.", err)
		}
		err = read(f)
		_ = f.Close() // The file was only read.
		if err != nil {
			return fail(ExitUsage, ReasonBadUsage, "The log %s cannot be read: %s.", name, err)
		}
	}
	env.report = out
	if len(out.Lines) == 0 {
		return fail(ExitFault, ReasonRecordNotFound, "No line of the logs names %s.", t.ID)
	}
	return nil
}

func (r *traceReport) add(text string) {
	if !strings.Contains(text, r.ID) {
		return
	}
	l := parseLogLine(text)
	refused := l.refused(r.ID)
	if l.values["request"] != r.ID && l.values["program"] != r.ID && len(refused) == 0 {
		return
	}
	r.Lines = append(r.Lines, text)
	for _, id := range refused {
		r.tell(id, l.refusal())
	}
	if l.values["msg"] == "request" {
		r.tell(l.values["request"], l.story())
	}
}

func (r *traceReport) tell(id, story string) {
	if _, seen := r.Requests[id]; !seen {
		r.order = append(r.order, id)
	}
	r.Requests[id] = story
}

// refused returns the requests in a line about several turns, each REQUEST:PROGRAM, that a request or program is meant by.
func (l logLine) refused(wanted string) []string {
	var ids []string
	for _, pair := range strings.Fields(l.values["requests"]) {
		if request, program, _ := strings.Cut(pair, ":"); request == wanted || program == wanted {
			ids = append(ids, request)
		}
	}
	return ids
}

// refusal says why several turns were refused together.
func (l logLine) refusal() string {
	v := l.values
	s := fmt.Sprintf("%s at gateway %s: status %s after %s at most. It was not sent to an upstream.", v["outcome"], v["vm"], v["status"], v["longest"])
	if a := errkind.Lookup(errkind.Kind(v["outcome"])); a.Status == statusOf(v["status"]) {
		s += " " + a.Meaning
	}
	s += fmt.Sprintf(" Cause %s: of set %s of view %s, %s members answered; a write needs %s and a read %s.",
		v["cause"], v["set"], v["view"], v["answering"], v["write"], v["read"])
	if v["silent"] != "" {
		s += " Silent: " + v["silent"] + "."
	}
	return s + fmt.Sprintf(" The gateway learned the view %s before; the store had answered about it %s before.", v["view_age"], v["store_answer_age"])
}

// story says in short sentences what happened to a request.
func (l logLine) story() string {
	v := l.values
	s := fmt.Sprintf("%s at gateway %s: status %s after %s.", v["outcome"], v["vm"], v["status"], v["took"])
	if a := errkind.Lookup(errkind.Kind(v["outcome"])); v["outcome"] != "internal" && a.Status == statusOf(v["status"]) {
		s += " " + a.Meaning
	}
	if v["sends"] == "0" {
		return s + " It was not sent to an upstream." + l.waits()
	}
	s += fmt.Sprintf(" Sent %s time(s), last to upstream %s, which had about %s requests by a report %s old and lacked %s tokens of the prompt.",
		v["sends"], v["upstream"], v["running"], v["report_age"], v["missing"])
	return s + l.waits()
}

// statusOf is the status of a line, or zero where it has none.
func statusOf(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

func (l logLine) waits() string {
	v := l.values
	return fmt.Sprintf(" Time: charge and history %s, first byte of the upstream %s, storing the turn %s.", v["begin"], v["first"], v["keep"])
}

// parseLogLine splits a line into its pairs. Text before the first pair is left out.
func parseLogLine(text string) logLine {
	l := logLine{values: map[string]string{}}
	for text = strings.TrimSpace(text); text != ""; text = strings.TrimLeft(text, " ") {
		word, _, _ := strings.Cut(text, " ")
		key, rest, ok := strings.Cut(word, "=")
		if !ok {
			text = text[len(word):]
			continue
		}
		value := rest
		used := len(word)
		if strings.HasPrefix(rest, `"`) {
			quoted, err := strconv.QuotedPrefix(text[len(key)+1:])
			if err == nil {
				used = len(key) + 1 + len(quoted)
				value, err = strconv.Unquote(quoted)
			}
			if err != nil {
				value = rest
			}
		}
		l.values[key] = value
		text = text[used:]
	}
	return l
}

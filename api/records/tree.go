package records

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"unicode/utf8"

	"sigs.k8s.io/yaml"
)

// MaxDocumentBytes bounds one document. It is the largest value that the platform stores.
const MaxDocumentBytes = 1_000_000

// maxLineFaults bounds the faults of one document whose paths are found from its lines, because each takes time in
// proportion to the document.
const maxLineFaults = 100

// maxDepth bounds the nesting of a document. The deepest field of the schema has depth 5.
const maxDepth = 32

type nodeKind string

const (
	nodeNull    nodeKind = "null"
	nodeBoolean nodeKind = "boolean"
	nodeNumber  nodeKind = "number"
	nodeString  nodeKind = "string"
	nodeList    nodeKind = "list"
	nodeObject  nodeKind = "object"
)

// node is one value of a parsed document. Numbers keep their text, so that no digit is lost.
type node struct {
	kind    nodeKind
	text    string
	items   []*node
	members []member
}

type member struct {
	key   string
	value *node
}

// get returns the member with the key, or nil.
func (n *node) get(key string) *node {
	for _, m := range n.members {
		if m.key == key {
			return m.value
		}
	}
	return nil
}

// show returns the value for a message, shortened to a length that fits a line.
func (n *node) show() string {
	const longest = 80 // Characters of a value in a message.
	switch n.kind {
	case nodeList:
		return fmt.Sprintf("a list of %d items", len(n.items))
	case nodeObject:
		return fmt.Sprintf("an object with %d fields", len(n.members))
	case nodeString:
		r := []rune(n.text)
		if len(r) > longest {
			return strconv.Quote(string(r[:longest])) + " and more"
		}
		return strconv.Quote(n.text)
	}
	return n.text
}

// parser builds nodes from JSON and records keys that occur twice in one object.
type parser struct {
	dec    *json.Decoder
	faults Faults
}

func parseJSON(data []byte) (*node, Faults) {
	p := &parser{dec: json.NewDecoder(bytes.NewReader(data))}
	p.dec.UseNumber()
	n, err := p.value("", 0)
	if err != nil {
		return nil, Faults{{Reason: ReasonSyntaxError, Message: "The document cannot be parsed: " + err.Error() + "."}}
	}
	return n, p.faults
}

func (p *parser) value(path string, depth int) (*node, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("more than %d levels of nesting", maxDepth)
	}
	tok, err := p.dec.Token()
	if err != nil {
		return nil, err
	}
	switch t := tok.(type) {
	case json.Delim:
		if t == '[' {
			return p.list(path, depth)
		}
		return p.object(path, depth)
	case json.Number:
		return &node{kind: nodeNumber, text: t.String()}, nil
	case string:
		return &node{kind: nodeString, text: t}, nil
	case bool:
		return &node{kind: nodeBoolean, text: strconv.FormatBool(t)}, nil
	}
	return &node{kind: nodeNull, text: "null"}, nil
}

func (p *parser) list(path string, depth int) (*node, error) {
	n := &node{kind: nodeList}
	for p.dec.More() {
		item, err := p.value(indexPath(path, len(n.items)), depth+1)
		if err != nil {
			return nil, err
		}
		n.items = append(n.items, item)
	}
	_, err := p.dec.Token()
	return n, err
}

func (p *parser) object(path string, depth int) (*node, error) {
	n, seen := &node{kind: nodeObject}, map[string]bool{}
	for p.dec.More() {
		tok, err := p.dec.Token()
		if err != nil {
			return nil, err
		}
		key, _ := tok.(string) // The decoder returns only strings as keys.
		at := joinPath(path, key)
		value, err := p.value(at, depth+1)
		if err != nil {
			return nil, err
		}
		if seen[key] {
			p.faults = append(p.faults, duplicateKey(at, ""))
			continue
		}
		seen[key] = true
		n.members = append(n.members, member{key: key, value: value})
	}
	_, err := p.dec.Token()
	return n, err
}

func duplicateKey(path, where string) Fault {
	return Fault{Reason: ReasonDuplicateKey, Path: path, Message: "The field is written more than once" + where + ".",
		Allowed: "each field at most once"}
}

func joinPath(path, key string) string {
	if len(key) > 80 {
		key = key[:80] + "..."
	}
	if path == "" {
		return key
	}
	return path + "." + key
}

func indexPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

// parseText parses one document in JSON or YAML. firstLine is the number of lines before the document in its file.
func parseText(data []byte, firstLine int) (*node, Faults) {
	if len(data) > MaxDocumentBytes {
		return nil, Faults{{Reason: ReasonTooLarge, Message: fmt.Sprintf("The document has %d bytes.", len(data)),
			Allowed: fmt.Sprintf("at most %d bytes", MaxDocumentBytes)}}
	}
	if !utf8.Valid(data) {
		return nil, Faults{{Reason: ReasonSyntaxError, Message: "The document is not valid UTF-8."}}
	}
	if json.Valid(data) {
		return parseJSON(data)
	}
	lines := strings.Split(string(data), "\n")
	faults := numberFaults(lines, firstLine)
	converted, err := yaml.YAMLToJSONStrict(data)
	if err != nil {
		faults = append(faults, yamlFaults(err, lines, firstLine)...)
		// A repeated key is one fault; the lenient parser lets the other faults be found as well.
		if converted, err = yaml.YAMLToJSON(data); err != nil {
			return nil, yamlFaults(err, lines, firstLine)
		}
	}
	n, more := parseJSON(converted)
	return n, append(faults, more...)
}

var (
	duplicateLine = regexp.MustCompile(`line (\d+): key (".*") already set in map`)
	syntaxLine    = regexp.MustCompile(`line (\d+): (did not find expected|found|mapping values|could not find expected|cannot|block) ?([a-z' ,-]*)`)
)

// yamlFaults turns an error of the YAML library into faults. Text of the document is not repeated, because it can hold
// a key that an operator wrote in the wrong place.
func yamlFaults(err error, lines []string, firstLine int) Faults {
	var faults Faults
	for _, m := range duplicateLine.FindAllStringSubmatch(err.Error(), maxLineFaults) {
		line, _ := strconv.Atoi(m[1])
		key, e := strconv.Unquote(m[2])
		if e != nil {
			key = m[2]
		}
		faults = append(faults, duplicateKey(pathAtLine(lines, line, key), fmt.Sprintf(" (line %d)", firstLine+line)))
	}
	if len(faults) > 0 {
		return faults
	}
	message := "The document is not valid YAML or JSON."
	if m := syntaxLine.FindStringSubmatch(err.Error()); m != nil {
		line, _ := strconv.Atoi(m[1])
		message = fmt.Sprintf("The document is not valid YAML or JSON near line %d: %s %s.", firstLine+line, m[2], m[3])
	}
	return Faults{{Reason: ReasonSyntaxError, Message: message}}
}

// YAML 1.1 reads 010 as 8, 0x10 as 16 and 1_0 as 10.
var (
	quotedOrComment = regexp.MustCompile(`"[^"]*"|'[^']*'|(^|\s)#.*`)
	flowStart       = regexp.MustCompile(`(?:^|: +|- +)[\[{]`)
	oddNumber       = regexp.MustCompile(`(?:^ *- +|: +)([-+]?(?:0[0-9_]+|0[xX][0-9a-fA-F_]+|0[oO][0-7_]+|0[bB][01_]+|[0-9]+_[0-9_.]*)) *$`)
	oddFlowNumber   = regexp.MustCompile(`(?:: +|[,\[{] *)([-+]?(?:0[0-9_]+|0[xX][0-9a-fA-F_]+|0[oO][0-7_]+|0[bB][01_]+|[0-9]+_[0-9_.]*)) *(?:[,\]}]|$)`)
)

// numberFaults reports whole numbers that are not written in decimal digits. The YAML library converts them, so the value
// would differ from what the file shows to a reader.
func numberFaults(lines []string, firstLine int) Faults {
	var faults Faults
	for i, line := range lines {
		if len(faults) == maxLineFaults {
			break
		}
		line = strings.TrimRight(quotedOrComment.ReplaceAllString(line, ""), " \r")
		odd := oddNumber
		if flowStart.MatchString(line) {
			odd = oddFlowNumber
		}
		for _, m := range odd.FindAllStringSubmatch(line, maxLineFaults-len(faults)) {
			key, _, _ := strings.Cut(strings.TrimLeft(line, " -"), ":")
			faults = append(faults, Fault{Reason: ReasonWrongFormat, Path: pathAtLine(lines, i+1, key), Value: m[1],
				Message: fmt.Sprintf("The number is not written in decimal digits (line %d).", firstLine+i+1),
				Allowed: "decimal digits without a leading zero, a prefix and an underscore; or text in quotes"})
		}
	}
	return faults
}

// pathAtLine returns the path of a key in block style YAML from the indentation of the lines above it.
func pathAtLine(lines []string, line int, key string) string {
	if line < 1 || line > len(lines) {
		return key
	}
	path := key
	indent := keyIndent(lines[line-1])
	dashIndent := indent // List items at or behind this column belong to a list that is part of the path.
	for i := line - 1; i >= 0; i-- {
		text := strings.TrimLeft(lines[i], " ")
		at := len(lines[i]) - len(text)
		item, dash := strings.CutPrefix(text, "- ")
		name, _, isKey := strings.Cut(strings.TrimLeft(item, " "), ":")
		if text == "" || text[0] == '#' {
			continue
		}
		if isKey && keyIndent(lines[i]) < indent && (!dash || at < dashIndent) {
			path, indent = joinParts(name, path), keyIndent(lines[i])
			dashIndent = min(dashIndent, indent)
		}
		if dash && at < dashIndent {
			path = joinParts(indexPath("", itemsBefore(lines[:i], at)), path)
			indent, dashIndent = at+1, at // The key of a list may have the same indentation as its items.
		}
	}
	return path
}

func joinParts(first, rest string) string {
	if strings.HasPrefix(rest, "[") {
		return first + rest
	}
	return first + "." + rest
}

// keyIndent returns the column of the key in a line, behind the dash of a list item.
func keyIndent(line string) int {
	text := strings.TrimLeft(line, " ")
	at := len(line) - len(text)
	if rest, ok := strings.CutPrefix(text, "- "); ok {
		return at + 2 + len(rest) - len(strings.TrimLeft(rest, " "))
	}
	return at
}

// itemsBefore counts the items of the same list above a line.
func itemsBefore(lines []string, indent int) int {
	count := 0
	for i := len(lines) - 1; i >= 0; i-- {
		text := strings.TrimLeft(lines[i], " ")
		at := len(lines[i]) - len(text)
		dash := strings.HasPrefix(text, "- ")
		if text != "" && (at < indent || at == indent && !dash) {
			return count
		}
		if dash && at == indent {
			count++
		}
	}
	return count
}

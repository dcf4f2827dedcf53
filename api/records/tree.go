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

// MaxDocumentBytes bounds the size of a document. The platform does not store larger values.
const MaxDocumentBytes = 1_000_000

// maxLineFaults bounds the faults of a document whose paths are derived from its lines. Deriving a path takes time
// proportional to the length of the document.
const maxLineFaults = 100

// maxDepth bounds the nesting depth of a document. The deepest field of the schema has depth 5.
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

// node is a value of a parsed document. Numbers are stored as text to preserve all digits.
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

// get returns the value of the member with the given key, or nil.
func (n *node) get(key string) *node {
	for _, m := range n.members {
		if m.key == key {
			return m.value
		}
	}
	return nil
}

// display returns the value for a message, truncated to maxRunes.
func (n *node) display() string {
	const maxRunes = 80 // A message then fits on one line.
	switch n.kind {
	case nodeList:
		return fmt.Sprintf("a list of %d items", len(n.items))
	case nodeObject:
		return fmt.Sprintf("an object with %d fields", len(n.members))
	case nodeString:
		r := []rune(n.text)
		if len(r) > maxRunes {
			return strconv.Quote(string(r[:maxRunes])) + " and more"
		}
		return strconv.Quote(n.text)
	}
	return n.text
}

// parser builds nodes from JSON and collects faults for duplicate keys in an object.
type parser struct {
	dec    *json.Decoder
	faults Faults
}

func parseJSON(data []byte) (*node, Faults) {
	p := &parser{dec: json.NewDecoder(bytes.NewReader(data))}
	p.dec.UseNumber()
	n, err := p.parseValue("", 0)
	if err != nil {
		return nil, Faults{{Reason: ReasonSyntaxError, Message: "The document cannot be parsed: " + err.Error() + "."}}
	}
	return n, p.faults
}

func (p *parser) parseValue(path string, depth int) (*node, error) {
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
			return p.parseList(path, depth)
		}
		return p.parseObject(path, depth)
	case json.Number:
		return &node{kind: nodeNumber, text: t.String()}, nil
	case string:
		return &node{kind: nodeString, text: t}, nil
	case bool:
		return &node{kind: nodeBoolean, text: strconv.FormatBool(t)}, nil
	}
	return &node{kind: nodeNull, text: "null"}, nil
}

func (p *parser) parseList(path string, depth int) (*node, error) {
	n := &node{kind: nodeList}
	for p.dec.More() {
		item, err := p.parseValue(indexPath(path, len(n.items)), depth+1)
		if err != nil {
			return nil, err
		}
		n.items = append(n.items, item)
	}
	_, err := p.dec.Token()
	return n, err
}

func (p *parser) parseObject(path string, depth int) (*node, error) {
	n, seen := &node{kind: nodeObject}, map[string]bool{}
	for p.dec.More() {
		tok, err := p.dec.Token()
		if err != nil {
			return nil, err
		}
		key, _ := tok.(string) // The decoder returns every object key as a string.
		fieldPath := joinPath(path, key)
		value, err := p.parseValue(fieldPath, depth+1)
		if err != nil {
			return nil, err
		}
		if seen[key] {
			p.faults = append(p.faults, duplicateKeyFault(fieldPath, ""))
			continue
		}
		seen[key] = true
		n.members = append(n.members, member{key: key, value: value})
	}
	_, err := p.dec.Token()
	return n, err
}

func duplicateKeyFault(path, location string) Fault {
	return Fault{Reason: ReasonDuplicateKey, Path: path, Message: "The field is written more than once" + location + ".",
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

// parseDocument parses one JSON or YAML document. lineOffset is the number of lines before the document in its file.
func parseDocument(data []byte, lineOffset int) (*node, Faults) {
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
	faults := nonDecimalFaults(lines, lineOffset)
	converted, err := yaml.YAMLToJSONStrict(data)
	if err != nil {
		faults = append(faults, yamlFaults(err, lines, lineOffset)...)
		// Duplicate keys are reported as faults. The document is parsed again without the check to find the other
		// faults.
		if converted, err = yaml.YAMLToJSON(data); err != nil {
			return nil, yamlFaults(err, lines, lineOffset)
		}
	}
	n, jsonFaults := parseJSON(converted)
	return n, append(faults, jsonFaults...)
}

var (
	duplicateKeyMessage = regexp.MustCompile(`line (\d+): key (".*") already set in map`)
	syntaxErrorMessage  = regexp.MustCompile(`line (\d+): (did not find expected|found|mapping values|could not find expected|cannot|block) ?([a-z' ,-]*)`)
)

// yamlFaults converts an error of the YAML library to faults. Syntax faults do not include text of the document,
// because it may contain a bearer key that an operator wrote in the wrong place.
func yamlFaults(err error, lines []string, lineOffset int) Faults {
	var faults Faults
	for _, m := range duplicateKeyMessage.FindAllStringSubmatch(err.Error(), maxLineFaults) {
		line, _ := strconv.Atoi(m[1])
		key, unquoteErr := strconv.Unquote(m[2])
		if unquoteErr != nil {
			key = m[2]
		}
		faults = append(faults, duplicateKeyFault(pathAtLine(lines, line, key), fmt.Sprintf(" (line %d)", lineOffset+line)))
	}
	if len(faults) > 0 {
		return faults
	}
	message := "The document is not valid YAML or JSON."
	if m := syntaxErrorMessage.FindStringSubmatch(err.Error()); m != nil {
		line, _ := strconv.Atoi(m[1])
		message = fmt.Sprintf("The document is not valid YAML or JSON near line %d: %s %s.", lineOffset+line, m[2], m[3])
	}
	return Faults{{Reason: ReasonSyntaxError, Message: message}}
}

// Patterns that find integers not written as plain decimal digits. YAML 1.1 reads 010 as 8, 0x10 as 16 and 1_0 as 10.
var (
	quotedOrComment      = regexp.MustCompile(`"[^"]*"|'[^']*'|(^|\s)#.*`)
	flowStart            = regexp.MustCompile(`(?:^|: +|- +)[\[{]`)
	nonDecimalNumber     = regexp.MustCompile(`(?:^ *- +|: +)([-+]?(?:0[0-9_]+|0[xX][0-9a-fA-F_]+|0[oO][0-7_]+|0[bB][01_]+|[0-9]+_[0-9_.]*)) *$`)
	nonDecimalFlowNumber = regexp.MustCompile(`(?:: +|[,\[{] *)([-+]?(?:0[0-9_]+|0[xX][0-9a-fA-F_]+|0[oO][0-7_]+|0[bB][01_]+|[0-9]+_[0-9_.]*)) *(?:[,\]}]|$)`)
)

// nonDecimalFaults returns a fault for each integer that is not written in decimal digits. The YAML library converts
// such numbers, so the decoded value would differ from the text in the file.
func nonDecimalFaults(lines []string, lineOffset int) Faults {
	var faults Faults
	for i, line := range lines {
		if len(faults) == maxLineFaults {
			break
		}
		line = strings.TrimRight(quotedOrComment.ReplaceAllString(line, ""), " \r")
		number := nonDecimalNumber
		if flowStart.MatchString(line) {
			number = nonDecimalFlowNumber
		}
		for _, m := range number.FindAllStringSubmatch(line, maxLineFaults-len(faults)) {
			key, _, _ := strings.Cut(strings.TrimLeft(line, " -"), ":")
			faults = append(faults, Fault{Reason: ReasonWrongFormat, Path: pathAtLine(lines, i+1, key), Value: m[1],
				Message: fmt.Sprintf("The number is not written in decimal digits (line %d).", lineOffset+i+1),
				Allowed: "decimal digits without a leading zero, a prefix and an underscore; or text in quotes"})
		}
	}
	return faults
}

// pathAtLine returns the path of a key in block-style YAML. It derives the path from the indentation of the lines
// above.
func pathAtLine(lines []string, line int, key string) string {
	if line < 1 || line > len(lines) {
		return key
	}
	path := key
	indent := keyIndent(lines[line-1])
	dashIndent := indent // List items at or after this column belong to a list that is already part of the path.
	for i := line - 1; i >= 0; i-- {
		text := strings.TrimLeft(lines[i], " ")
		column := len(lines[i]) - len(text)
		item, isItem := strings.CutPrefix(text, "- ")
		name, _, isKey := strings.Cut(strings.TrimLeft(item, " "), ":")
		if text == "" || text[0] == '#' {
			continue
		}
		if isKey && keyIndent(lines[i]) < indent && (!isItem || column < dashIndent) {
			path, indent = joinPathParts(name, path), keyIndent(lines[i])
			dashIndent = min(dashIndent, indent)
		}
		if isItem && column < dashIndent {
			path = joinPathParts(indexPath("", countItemsBefore(lines[:i], column)), path)
			indent, dashIndent = column+1, column // YAML allows the key of a list to have the same indentation as its items.
		}
	}
	return path
}

func joinPathParts(first, remainder string) string {
	if strings.HasPrefix(remainder, "[") {
		return first + remainder
	}
	return first + "." + remainder
}

// keyIndent returns the column of the key in a line, after the dash of a list item.
func keyIndent(line string) int {
	text := strings.TrimLeft(line, " ")
	column := len(line) - len(text)
	if afterDash, ok := strings.CutPrefix(text, "- "); ok {
		return column + 2 + len(afterDash) - len(strings.TrimLeft(afterDash, " "))
	}
	return column
}

// countItemsBefore returns the number of items of the same list that precede a line. lines contains the lines before
// it, and indent is the column of the list items.
func countItemsBefore(lines []string, indent int) int {
	count := 0
	for i := len(lines) - 1; i >= 0; i-- {
		text := strings.TrimLeft(lines[i], " ")
		column := len(lines[i]) - len(text)
		isItem := strings.HasPrefix(text, "- ")
		if text != "" && (column < indent || column == indent && !isItem) {
			return count
		}
		if isItem && column == indent {
			count++
		}
	}
	return count
}

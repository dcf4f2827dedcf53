package records

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// checker compares a parsed document with its schema and collects all faults. It returns values with the defaults
// filled in.
type checker struct {
	schema KindSchema
	hide   bool // The kind has secret fields, so the value of an unknown field can be a secret.
	faults Faults
}

func (c *checker) add(reason Reason, path string, f Field, n *node, message string) {
	fault := Fault{Reason: reason, Path: path, Message: message, Allowed: f.Allowed()}
	if n != nil {
		fault.Value = n.show()
	}
	if f.Secret && n != nil {
		fault.Value = hiddenValue
	}
	c.faults = append(c.faults, fault)
}

// check returns the value of a field in the form that encoding/json decodes into the type of the version.
func (c *checker) check(f Field, n *node, path string) any {
	if n == nil {
		return c.absent(f, path)
	}
	switch f.Type {
	case TypeObject:
		return c.object(f, n, path)
	case TypeList:
		return c.list(f, n, path)
	case TypeMap:
		return c.mapping(f, n, path)
	case TypeBoolean:
		if c.typed(f, n, path, nodeBoolean) {
			return n.text == "true"
		}
	case TypeInteger:
		return c.integer(f, n, path)
	case TypeNumber, TypeSeconds:
		return c.number(f, n, path)
	case TypeDuration:
		return c.duration(f, n, path)
	case TypeString:
		return c.text(f, n, path)
	}
	return nil
}

func (c *checker) absent(f Field, path string) any {
	if f.Required {
		c.add(ReasonMissingField, path, f, nil, "The field is missing.")
		return nil
	}
	if f.Type == TypeObject {
		return c.object(f, &node{kind: nodeObject}, path)
	}
	return f.Default
}

func (c *checker) typed(f Field, n *node, path string, want nodeKind) bool {
	if n.kind == want {
		return true
	}
	message := "The value is of type " + string(n.kind) + "."
	if want == nodeString && (n.kind == nodeNumber || n.kind == nodeBoolean) {
		message += " Write the text in quotes."
	}
	c.add(ReasonWrongType, path, f, n, message)
	return false
}

func (c *checker) object(f Field, n *node, path string) any {
	if !c.typed(f, n, path, nodeObject) {
		return nil
	}
	value := map[string]any{}
	for _, m := range n.members {
		if !slices.Contains(fieldNames(f.Fields), m.key) {
			c.unknown(f, m, path)
		}
	}
	for _, child := range f.Fields {
		if v := c.check(child, n.get(child.Name), joinPath(path, child.Name)); v != nil {
			value[child.Name] = v
		}
	}
	return value
}

// unknown reports a field that the schema does not have, and names the version that has it.
func (c *checker) unknown(f Field, m member, path string) {
	at, message := joinPath(path, m.key), "The field does not exist in version "+string(c.schema.Version)+"."
	for _, v := range Versions {
		other, ok := Schema(v, c.schema.Kind)
		if v == c.schema.Version || !ok {
			continue
		}
		if _, ok := other.FindField(withoutIndexes(at)); ok {
			message += " It exists in version " + string(v) + "."
		}
	}
	f.Secret = c.hide
	c.add(ReasonUnknownField, at, f, m.value, message)
}

// withoutIndexes removes list indexes from a path.
func withoutIndexes(path string) string {
	var sb strings.Builder
	for i, part := range strings.Split(path, "[") {
		if i > 0 {
			_, part, _ = strings.Cut(part, "]")
		}
		sb.WriteString(part)
	}
	return sb.String()
}

func (c *checker) list(f Field, n *node, path string) any {
	if !c.typed(f, n, path, nodeList) || !c.count(f, n, path, len(n.items)) {
		return nil
	}
	values, seen := make([]any, 0, len(n.items)), map[string]bool{}
	for i, item := range n.items {
		at := indexPath(path, i)
		values = append(values, c.check(*f.Elem, item, at))
		key, ok := uniqueKey(f, item)
		if ok && seen[key] {
			c.add(ReasonDuplicateItem, at, f, item, "The item is in the list more than once.")
		}
		seen[key] = true
	}
	return values
}

// uniqueKey returns the text by which items of a list must differ.
func uniqueKey(f Field, item *node) (string, bool) {
	if f.UniqueBy != "" && f.UniqueBy != "." {
		item = item.get(f.UniqueBy)
	}
	if f.UniqueBy == "" || item == nil || item.kind != nodeString {
		return "", false
	}
	return item.text, true
}

func (c *checker) mapping(f Field, n *node, path string) any {
	if !c.typed(f, n, path, nodeObject) || !c.count(f, n, path, len(n.members)) {
		return nil
	}
	values := map[string]any{}
	for _, m := range n.members {
		at := joinPath(path, m.key)
		if !f.Format.check(m.key) {
			c.add(ReasonWrongFormat, at, f, &node{kind: nodeString, text: m.key}, "The key of the map has a wrong form.")
		}
		values[m.key] = c.check(*f.Elem, m.value, at)
	}
	return values
}

func (c *checker) count(f Field, n *node, path string, count int) bool {
	if float64(count) >= f.Min && float64(count) <= f.Max {
		return true
	}
	c.add(ReasonOutOfBounds, path, f, n, "The number of items is not allowed.")
	return false
}

func (c *checker) integer(f Field, n *node, path string) any {
	if !c.typed(f, n, path, nodeNumber) {
		return nil
	}
	i, err := strconv.ParseInt(n.text, 10, 64)
	if err != nil && strings.ContainsAny(n.text, ".eE") {
		c.add(ReasonWrongType, path, f, n, "The value is not a whole number in decimal digits.")
		return nil
	}
	if err != nil || !c.within(f, n, path, float64(i)) {
		if err != nil {
			c.add(ReasonOutOfBounds, path, f, n, "The value is out of bounds.")
		}
		return nil
	}
	return i
}

func (c *checker) number(f Field, n *node, path string) any {
	if f.Type == TypeSeconds && n.kind == nodeString {
		c.add(ReasonWrongUnit, path, f, n, "The value is text. Version "+string(c.schema.Version)+" has seconds here, as a number without a unit.")
		return nil
	}
	if !c.typed(f, n, path, nodeNumber) {
		return nil
	}
	v, err := strconv.ParseFloat(n.text, 64)
	if err != nil || !c.within(f, n, path, v) {
		if err != nil {
			c.add(ReasonOutOfBounds, path, f, n, "The value is out of bounds.")
		}
		return nil
	}
	if f.Type == TypeSeconds && math.Abs(v-math.Round(v*1000)/1000) > 1e-9 {
		c.add(ReasonOutOfBounds, path, f, n, "The value is not a whole number of milliseconds.")
		return nil
	}
	return v + 0 // Minus zero becomes zero.
}

func (c *checker) within(f Field, n *node, path string, v float64) bool {
	if v >= f.Min && v <= f.Max {
		return true
	}
	c.add(ReasonOutOfBounds, path, f, n, "The value is out of bounds.")
	return false
}

func (c *checker) duration(f Field, n *node, path string) any {
	if n.kind == nodeNumber {
		c.add(ReasonWrongUnit, path, f, n, "The value has no unit. Version "+string(c.schema.Version)+" has text with a unit here.")
		return nil
	}
	if !c.typed(f, n, path, nodeString) {
		return nil
	}
	d, err := time.ParseDuration(n.text)
	if err != nil {
		c.add(ReasonWrongUnit, path, f, n, "The value is not a duration with a unit.")
		return nil
	}
	if d%time.Millisecond != 0 {
		c.add(ReasonOutOfBounds, path, f, n, "The value is not a whole number of milliseconds.")
		return nil
	}
	if !c.within(f, n, path, d.Seconds()) {
		return nil
	}
	return n.text
}

func (c *checker) text(f Field, n *node, path string) any {
	if !c.typed(f, n, path, nodeString) {
		return nil
	}
	if len(f.Enum) > 0 {
		if !slices.Contains(f.Enum, n.text) {
			c.add(ReasonNotInList, path, f, n, "The value is not one of the allowed values.")
		}
		return n.text
	}
	if n.text == "" && !f.Required {
		return n.text
	}
	if l := float64(utf8.RuneCountInString(n.text)); l < f.Min || l > f.Max {
		c.add(ReasonOutOfBounds, path, f, n, "The text has "+number(l)+" characters.")
		return nil
	}
	if f.Format != nil && !f.Format.check(n.text) {
		c.add(ReasonWrongFormat, path, f, n, "The text has a wrong form.")
	}
	return n.text
}

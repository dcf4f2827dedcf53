package records

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// checker validates a parsed document against its schema and collects all faults. It converts the document to values
// and adds default values.
type checker struct {
	schema     KindSchema
	hideValues bool // The kind has secret fields, so the value of an unknown field may be a secret and is hidden.
	faults     Faults
}

func (c *checker) addFault(reason Reason, path string, f Field, n *node, message string) {
	fault := Fault{Reason: reason, Path: path, Message: message, Allowed: f.Allowed()}
	if n != nil {
		fault.Value = n.display()
	}
	if f.Secret && n != nil {
		fault.Value = hiddenValue
	}
	c.faults = append(c.faults, fault)
}

// checkField validates n against f. It returns the value in the form that encoding/json decodes into the document type
// of the version. An absent optional field has its default value.
func (c *checker) checkField(f Field, n *node, path string) any {
	if n == nil {
		return c.checkAbsent(f, path)
	}
	switch f.Type {
	case TypeObject:
		return c.checkObject(f, n, path)
	case TypeList:
		return c.checkList(f, n, path)
	case TypeMap:
		return c.checkMap(f, n, path)
	case TypeBoolean:
		if c.checkNodeKind(f, n, path, nodeBoolean) {
			return n.text == "true"
		}
	case TypeInteger:
		return c.checkInteger(f, n, path)
	case TypeNumber, TypeSeconds:
		return c.checkNumber(f, n, path)
	case TypeDuration:
		return c.checkDuration(f, n, path)
	case TypeString:
		return c.checkText(f, n, path)
	}
	return nil
}

func (c *checker) checkAbsent(f Field, path string) any {
	if f.Required {
		c.addFault(ReasonMissingField, path, f, nil, "The field is missing.")
		return nil
	}
	if f.Type == TypeObject {
		return c.checkObject(f, &node{kind: nodeObject}, path)
	}
	return f.Default
}

func (c *checker) checkNodeKind(f Field, n *node, path string, want nodeKind) bool {
	if n.kind == want {
		return true
	}
	message := "The value is of type " + string(n.kind) + "."
	if want == nodeString && (n.kind == nodeNumber || n.kind == nodeBoolean) {
		message += " Write the text in quotes."
	}
	c.addFault(ReasonWrongType, path, f, n, message)
	return false
}

func (c *checker) checkObject(f Field, n *node, path string) any {
	if !c.checkNodeKind(f, n, path, nodeObject) {
		return nil
	}
	value := map[string]any{}
	for _, m := range n.members {
		if !slices.Contains(fieldNames(f.Fields), m.key) {
			c.addUnknownField(f, m, path)
		}
	}
	for _, child := range f.Fields {
		if v := c.checkField(child, n.get(child.Name), joinPath(path, child.Name)); v != nil {
			value[child.Name] = v
		}
	}
	return value
}

// addUnknownField adds a fault for a field that is not in the schema. The message names any other version that has the
// field.
func (c *checker) addUnknownField(f Field, m member, path string) {
	fieldPath, message := joinPath(path, m.key), "The field does not exist in version "+string(c.schema.Version)+"."
	for _, v := range Versions {
		other, ok := Schema(v, c.schema.Kind)
		if v == c.schema.Version || !ok {
			continue
		}
		if _, ok := other.FindField(withoutIndexes(fieldPath)); ok {
			message += " It exists in version " + string(v) + "."
		}
	}
	f.Secret = c.hideValues
	c.addFault(ReasonUnknownField, fieldPath, f, m.value, message)
}

// withoutIndexes returns path without its list indexes.
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

func (c *checker) checkList(f Field, n *node, path string) any {
	if !c.checkNodeKind(f, n, path, nodeList) || !c.checkLength(f, n, path, len(n.items)) {
		return nil
	}
	values, seen := make([]any, 0, len(n.items)), map[string]bool{}
	for i, item := range n.items {
		itemPath := indexPath(path, i)
		values = append(values, c.checkField(*f.Elem, item, itemPath))
		key, ok := uniqueItemKey(f, item)
		if ok && seen[key] {
			c.addFault(ReasonDuplicateItem, itemPath, f, item, "The item is in the list more than once.")
		}
		seen[key] = true
	}
	return values
}

// uniqueItemKey returns the text that must be unique among the items of list f. It returns false if there is none.
func uniqueItemKey(f Field, item *node) (string, bool) {
	if f.UniqueBy != "" && f.UniqueBy != "." {
		item = item.get(f.UniqueBy)
	}
	if f.UniqueBy == "" || item == nil || item.kind != nodeString {
		return "", false
	}
	return item.text, true
}

func (c *checker) checkMap(f Field, n *node, path string) any {
	if !c.checkNodeKind(f, n, path, nodeObject) || !c.checkLength(f, n, path, len(n.members)) {
		return nil
	}
	values := map[string]any{}
	for _, m := range n.members {
		entryPath := joinPath(path, m.key)
		if !f.Format.matches(m.key) {
			c.addFault(ReasonWrongFormat, entryPath, f, &node{kind: nodeString, text: m.key}, "The key of the map has a wrong form.")
		}
		values[m.key] = c.checkField(*f.Elem, m.value, entryPath)
	}
	return values
}

func (c *checker) checkLength(f Field, n *node, path string, count int) bool {
	if float64(count) >= f.Min && float64(count) <= f.Max {
		return true
	}
	c.addFault(ReasonOutOfBounds, path, f, n, "The number of items is not allowed.")
	return false
}

func (c *checker) checkInteger(f Field, n *node, path string) any {
	if !c.checkNodeKind(f, n, path, nodeNumber) {
		return nil
	}
	i, err := strconv.ParseInt(n.text, 10, 64)
	if err != nil && strings.ContainsAny(n.text, ".eE") {
		c.addFault(ReasonWrongType, path, f, n, "The value is not a whole number in decimal digits.")
		return nil
	}
	if err != nil || !c.checkBounds(f, n, path, float64(i)) {
		if err != nil {
			c.addFault(ReasonOutOfBounds, path, f, n, "The value is out of bounds.")
		}
		return nil
	}
	return i
}

func (c *checker) checkNumber(f Field, n *node, path string) any {
	if f.Type == TypeSeconds && n.kind == nodeString {
		c.addFault(ReasonWrongUnit, path, f, n, "The value is text. Version "+string(c.schema.Version)+" has seconds here, as a number without a unit.")
		return nil
	}
	if !c.checkNodeKind(f, n, path, nodeNumber) {
		return nil
	}
	v, err := strconv.ParseFloat(n.text, 64)
	if err != nil || !c.checkBounds(f, n, path, v) {
		if err != nil {
			c.addFault(ReasonOutOfBounds, path, f, n, "The value is out of bounds.")
		}
		return nil
	}
	if f.Type == TypeSeconds && math.Abs(v-math.Round(v*1000)/1000) > 1e-9 {
		c.addFault(ReasonOutOfBounds, path, f, n, "The value is not a whole number of milliseconds.")
		return nil
	}
	return v + 0 // Converts negative zero to zero.
}

func (c *checker) checkBounds(f Field, n *node, path string, v float64) bool {
	if v >= f.Min && v <= f.Max {
		return true
	}
	c.addFault(ReasonOutOfBounds, path, f, n, "The value is out of bounds.")
	return false
}

func (c *checker) checkDuration(f Field, n *node, path string) any {
	if n.kind == nodeNumber {
		c.addFault(ReasonWrongUnit, path, f, n, "The value has no unit. Version "+string(c.schema.Version)+" has text with a unit here.")
		return nil
	}
	if !c.checkNodeKind(f, n, path, nodeString) {
		return nil
	}
	d, err := time.ParseDuration(n.text)
	if err != nil {
		c.addFault(ReasonWrongUnit, path, f, n, "The value is not a duration with a unit.")
		return nil
	}
	if d%time.Millisecond != 0 {
		c.addFault(ReasonOutOfBounds, path, f, n, "The value is not a whole number of milliseconds.")
		return nil
	}
	if !c.checkBounds(f, n, path, d.Seconds()) {
		return nil
	}
	return n.text
}

func (c *checker) checkText(f Field, n *node, path string) any {
	if !c.checkNodeKind(f, n, path, nodeString) {
		return nil
	}
	if len(f.Enum) > 0 {
		if !slices.Contains(f.Enum, n.text) {
			c.addFault(ReasonNotInList, path, f, n, "The value is not one of the allowed values.")
		}
		return n.text
	}
	if n.text == "" && !f.Required {
		return n.text
	}
	if length := float64(utf8.RuneCountInString(n.text)); length < f.Min || length > f.Max {
		c.addFault(ReasonOutOfBounds, path, f, n, "The text has "+formatNumber(length)+" characters.")
		return nil
	}
	if f.Format != nil && !f.Format.matches(n.text) {
		c.addFault(ReasonWrongFormat, path, f, n, "The text has a wrong form.")
	}
	return n.text
}

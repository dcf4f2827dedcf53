package records

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// FieldType is the type of a field in a document.
type FieldType string

// Types of fields.
const (
	TypeString   FieldType = "string"
	TypeInteger  FieldType = "integer"
	TypeNumber   FieldType = "number"
	TypeBoolean  FieldType = "boolean"
	TypeSeconds  FieldType = "seconds"  // Number of seconds, at most three decimal places.
	TypeDuration FieldType = "duration" // String with units, for example "1m30s".
	TypeList     FieldType = "list"
	TypeMap      FieldType = "map"
	TypeObject   FieldType = "object"
)

// Field describes one field of a document: what the decoder accepts, and what the explain command and the page
// docs/records.md show.
type Field struct {
	Name     string    `json:"name"`
	Type     FieldType `json:"type"`
	Doc      string    `json:"doc"`
	Unit     string    `json:"unit,omitempty"`
	Required bool      `json:"required,omitempty"`
	Default  any       `json:"default,omitempty"` // Nil when there is none.
	Min      float64   `json:"min,omitempty"`     // Of the value, or of the number of characters or items. Durations in seconds.
	Max      float64   `json:"max,omitempty"`
	Enum     []string  `json:"enum,omitempty"`
	Format   *Format   `json:"format,omitempty"` // Of a string, or of the keys of a map.
	Secret   bool      `json:"secret,omitempty"` // The value must not appear in messages.
	UniqueBy string    `json:"uniqueBy,omitempty"`
	Elem     *Field    `json:"elem,omitempty"`   // Of a list or map.
	Fields   []Field   `json:"fields,omitempty"` // Of an object.
}

// Format is a rule for the text of a string.
type Format struct {
	Text  string `json:"text"` // The rule as a phrase for operators.
	check func(string) bool
}

func pattern(text, expr string) *Format {
	re := regexp.MustCompile(expr)
	return &Format{Text: text, check: re.MatchString}
}

// Formats of strings. A name has no dot, because the platform's objects join names with dots.
var (
	formatName      = pattern("1 to 63 characters: lower-case letters, digits and hyphens; a letter or digit at both ends", `^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	formatModelName = pattern("1 to 63 characters: letters, digits, dots, hyphens and underscores; a letter or digit at both ends", `^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$`)
	formatPath      = pattern("a path that starts with /, without spaces, ? and #", `^/[!"$-;=@-~]*$`)
	formatPrintable = pattern("text without control characters", `^[^\x00-\x1f\x7f]*$`)
	formatProgram   = pattern("<data centre>.<26 characters of the program id>", `^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?\.[0-9A-Za-z]{26}$`)
	formatHash      = &Format{Text: "SHA-256 of a key: 64 lower-case hexadecimal digits", check: isHash}
	formatAddress   = &Format{Text: "IP address and port, for example 10.0.0.1:8000", check: isAddress}
)

func isHash(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == 32 && s == strings.ToLower(s)
}

func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && a.String() == s
}

// nameFormat returns the format of metadata.name of a kind.
func nameFormat(k Kind) *Format {
	if k == KindModel {
		return formatModelName
	}
	return formatName
}

// Allowed describes the accepted values in one phrase.
func (f Field) Allowed() string {
	switch f.Type {
	case TypeBoolean:
		return "true or false"
	case TypeInteger:
		return "a whole number from " + number(f.Min) + " to " + number(f.Max)
	case TypeNumber:
		return "a number from " + number(f.Min) + " to " + number(f.Max)
	case TypeSeconds:
		return "a number of seconds from " + number(f.Min) + " to " + number(f.Max) + ", at most 3 decimal places"
	case TypeDuration:
		return fmt.Sprintf("a duration with a unit (ms, s, m, h), for example \"30s\", from %s to %s, in whole milliseconds",
			FormatDuration(seconds(f.Min)), FormatDuration(seconds(f.Max)))
	case TypeList:
		return "a list of " + number(f.Min) + " to " + number(f.Max) + " items"
	case TypeMap:
		return "a map of " + number(f.Min) + " to " + number(f.Max) + " entries; each key is " + f.Format.Text
	case TypeObject:
		return "an object with the fields " + strings.Join(fieldNames(f.Fields), ", ")
	}
	return f.allowedText()
}

func (f Field) allowedText() string {
	if len(f.Enum) > 0 {
		quoted := make([]string, len(f.Enum))
		for i, s := range f.Enum {
			quoted[i] = strconv.Quote(s)
		}
		return "one of " + strings.Join(quoted, ", ")
	}
	text := "text of " + number(f.Min) + " to " + number(f.Max) + " characters"
	if f.Format != nil {
		text = f.Format.Text
	}
	if !f.Required && f.Default == "" {
		text += "; or an empty text"
	}
	return text
}

func fieldNames(fields []Field) []string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.Name
	}
	return names
}

func number(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

// seconds converts a number of seconds, rounded to milliseconds.
func seconds(s float64) time.Duration {
	return time.Duration(s*1000+0.5) * time.Millisecond
}

// FormatDuration writes a duration as records of version v2 hold it: without units that are zero, for example "2m".
func FormatDuration(d time.Duration) string {
	if d == 0 {
		return "0s"
	}
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

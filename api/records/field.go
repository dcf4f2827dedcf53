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

// FieldType is the type of a document field.
type FieldType string

// Field types.
const (
	TypeString   FieldType = "string"
	TypeInteger  FieldType = "integer"
	TypeNumber   FieldType = "number"
	TypeBoolean  FieldType = "boolean"
	TypeSeconds  FieldType = "seconds"  // Number of seconds with at most three decimal places.
	TypeDuration FieldType = "duration" // String with a unit, for example "1m30s".
	TypeList     FieldType = "list"
	TypeMap      FieldType = "map"
	TypeObject   FieldType = "object"
)

// Field describes a document field. The decoder, the explain command and the page docs/records.md use this description.
type Field struct {
	Name     string    `json:"name"`
	Type     FieldType `json:"type"`
	Doc      string    `json:"doc"`
	Unit     string    `json:"unit,omitempty"`
	Required bool      `json:"required,omitempty"`
	Default  any       `json:"default,omitempty"` // Nil if there is no default.
	Min      float64   `json:"min,omitempty"`     // Bound of the value, or of the number of characters or items. Durations are in seconds.
	Max      float64   `json:"max,omitempty"`
	Enum     []string  `json:"enum,omitempty"`
	Format   *Format   `json:"format,omitempty"`   // Format of a string or of the keys of a map.
	Secret   bool      `json:"secret,omitempty"`   // The value must not appear in messages.
	UniqueBy string    `json:"uniqueBy,omitempty"` // Field by which list items must differ; "." is the item itself.
	Elem     *Field    `json:"elem,omitempty"`     // Elements of a list or map.
	Fields   []Field   `json:"fields,omitempty"`   // Fields of an object.
}

// Format is a constraint on the text of a string.
type Format struct {
	Text    string `json:"text"` // Phrase that describes the constraint to operators.
	matches func(string) bool
}

func patternFormat(text, expr string) *Format {
	re := regexp.MustCompile(expr)
	return &Format{Text: text, matches: re.MatchString}
}

// String formats. A record name must not contain a dot, because object names of the platform join kind and name with a
// dot. Model names are an exception.
var (
	formatName      = patternFormat("1 to 63 characters: lower-case letters, digits and hyphens; a letter or digit at both ends", `^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	formatModelName = patternFormat("1 to 63 characters: letters, digits, dots, hyphens and underscores; a letter or digit at both ends", `^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$`)
	formatPath      = patternFormat("a path that starts with /, without spaces, ? and #", `^/[!"$-;=@-~]*$`)
	formatPrintable = patternFormat("text without control characters", `^[^\x00-\x1f\x7f]*$`)
	formatProgram   = patternFormat("<data centre>.<26 characters of the program id>", `^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?\.[0-9A-Za-z]{26}$`)
	formatHash      = &Format{Text: "SHA-256 of a key: 64 lower-case hexadecimal digits", matches: isSHA256Hex}
	formatAddress   = &Format{Text: "IP address and port, for example 10.0.0.1:8000", matches: isAddress}
)

func isSHA256Hex(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == 32 && s == strings.ToLower(s)
}

func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0 && a.String() == s
}

// nameFormat returns the format of metadata.name for a kind.
func nameFormat(k Kind) *Format {
	if k == KindModel {
		return formatModelName
	}
	return formatName
}

// Allowed returns a phrase that describes the accepted values.
func (f Field) Allowed() string {
	switch f.Type {
	case TypeBoolean:
		return "true or false"
	case TypeInteger:
		return "a whole number from " + formatNumber(f.Min) + " to " + formatNumber(f.Max)
	case TypeNumber:
		return "a number from " + formatNumber(f.Min) + " to " + formatNumber(f.Max)
	case TypeSeconds:
		return "a number of seconds from " + formatNumber(f.Min) + " to " + formatNumber(f.Max) + ", at most 3 decimal places"
	case TypeDuration:
		return fmt.Sprintf("a duration with a unit (ms, s, m, h), for example \"30s\", from %s to %s, in whole milliseconds",
			FormatDuration(boundDuration(f.Min)), FormatDuration(boundDuration(f.Max)))
	case TypeList:
		return "a list of " + formatNumber(f.Min) + " to " + formatNumber(f.Max) + " items"
	case TypeMap:
		return "a map of " + formatNumber(f.Min) + " to " + formatNumber(f.Max) + " entries; each key is " + f.Format.Text
	case TypeObject:
		return "an object with the fields " + strings.Join(fieldNames(f.Fields), ", ")
	}
	return f.allowedStrings()
}

func (f Field) allowedStrings() string {
	if len(f.Enum) > 0 {
		quoted := make([]string, len(f.Enum))
		for i, s := range f.Enum {
			quoted[i] = strconv.Quote(s)
		}
		return "one of " + strings.Join(quoted, ", ")
	}
	text := "text of " + formatNumber(f.Min) + " to " + formatNumber(f.Max) + " characters"
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

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

// boundDuration converts a bound or default in seconds to a duration, rounded to milliseconds.
func boundDuration(s float64) time.Duration {
	return time.Duration(s*1000+0.5) * time.Millisecond
}

// FormatDuration formats a duration as in version v2: without trailing zero units, for example "2m".
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

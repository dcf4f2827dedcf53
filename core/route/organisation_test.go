package route

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

func newAuthenticatingTable(organisations int) *Table {
	set := NewOrganisations()
	for i := range organisations {
		set.Add(Organisation{Name: fmt.Sprint("org-", i)}, fmt.Sprintf("key-%d-first", i), fmt.Sprintf("key-%d-second", i))
	}
	return NewTable(Config{Organisations: set})
}

// Guards against a malformed header or an unknown key that is accepted, and against a valid one that is refused.
func TestAuthenticate(t *testing.T) {
	table := newAuthenticatingTable(3)
	table.Config.Organisations.Add(Organisation{Name: "odd"}, strings.Repeat("k", maxKeyBytes))
	cases := map[string]struct{ authorization, want string }{
		"first key":                    {"Bearer key-1-first", "org-1"},
		"second key":                   {"Bearer key-1-second", "org-1"},
		"scheme in another case":       {"bEARER key-2-first", "org-2"},
		"several spaces":               {"Bearer   key-2-first", "org-2"},
		"longest key":                  {"Bearer " + strings.Repeat("k", maxKeyBytes), "odd"},
		"key that is too long":         {"Bearer " + strings.Repeat("k", maxKeyBytes+1), ""},
		"unknown key":                  {"Bearer key-3-first", ""},
		"key in another case":          {"Bearer KEY-1-FIRST", ""},
		"start of a key":               {"Bearer key-1-firs", ""},
		"key with more behind it":      {"Bearer key-1-first2", ""},
		"empty":                        {"", ""},
		"scheme only":                  {"Bearer", ""},
		"scheme and a space":           {"Bearer ", ""},
		"no scheme":                    {"key-1-first", ""},
		"scheme and key without space": {"Bearerkey-1-first", ""},
		"scheme with a tab":            {"Bearer\tkey-1-first", ""},
		"other scheme":                 {"Basic key-1-first", ""},
		"space before the scheme":      {" Bearer key-1-first", ""},
		"space behind the key":         {"Bearer key-1-first ", ""},
		"two keys":                     {"Bearer key-1-first key-2-first", ""},
		"two keys with a comma":        {"Bearer key-1-first, Bearer key-2-first", ""},
		"control character":            {"Bearer key-1-first\x00", ""},
		"character beyond ASCII":       {"Bearer key-1-firstä", ""},
		"name of the organisation":     {"Bearer org-1", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			o, ok := table.Authenticate(c.authorization)
			test.EqOp(t, c.want != "", ok)
			if ok {
				test.EqOp(t, c.want, o.Name)
			} else {
				test.Nil(t, o)
			}
		})
	}
	_, ok := NewTable(Config{}).Authenticate("Bearer key-1-first")
	test.False(t, ok, test.Sprint("without organisations no key is valid"))
	_, ok = NewTable(Config{Organisations: NewOrganisations()}).Authenticate("Bearer key-1-first")
	test.False(t, ok, test.Sprint("an empty list of organisations is not a missing one"))
}

// Guards against a malformed key that is hashed and counted as unknown, and against a key of the configuration that no request
// can carry.
func TestBearerKey(t *testing.T) {
	for authorization, want := range map[string]string{
		"Bearer k":   "k",
		"bearer  !~": "!~",
		"Bearer " + strings.Repeat("k", maxKeyBytes):   strings.Repeat("k", maxKeyBytes),
		"Bearer " + strings.Repeat("k", maxKeyBytes+1): "",
		"Bearer a b":   "",
		"Bearer a\tb":  "",
		"Bearer a\x7f": "",
		"Bearer ä":     "",
		"Bearer":       "",
		"Bearer ":      "",
		"Basic k":      "",
		"k":            "",
		"":             "",
	} {
		key, ok := BearerKey(authorization)
		test.EqOp(t, want != "", ok, test.Sprint(authorization))
		if ok {
			test.EqOp(t, want, key)
		}
	}
}

// Guards against a key that appears in a dump of the configuration, for example in a log line or a panic.
func TestConfigurationDoesNotContainKeys(t *testing.T) {
	table := newAuthenticatingTable(2)
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q"} {
		test.StrNotContains(t, fmt.Sprintf(verb, table.Config), "key-1-first", test.Sprint(verb))
		test.StrNotContains(t, fmt.Sprintf(verb, table.Config.Organisations), "key-1-first", test.Sprint(verb))
	}
}

// Guards against an allocation for each request. The load is that of the users' largest configuration.
func TestAuthenticateDoesNotAllocate(t *testing.T) {
	table := newAuthenticatingTable(4500)
	for _, authorization := range []string{"Bearer key-4321-second", "Bearer unknown", "malformed", "Bearer " + strings.Repeat("k", maxKeyBytes)} {
		must.EqOp(t, 0, testing.AllocsPerRun(100, func() { table.Authenticate(authorization) }), must.Sprint(authorization))
	}
}

// BenchmarkAuthenticate measures the lookup of a key among those of 4,500 organisations with two keys each.
func BenchmarkAuthenticate(b *testing.B) {
	table := newAuthenticatingTable(4500)
	for name, authorization := range map[string]string{
		"known":   "Bearer key-4321-second",
		"unknown": "Bearer key-4321-third",
		"longest": "Bearer " + strings.Repeat("k", maxKeyBytes),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Authenticate(authorization)
			}
		})
	}
}

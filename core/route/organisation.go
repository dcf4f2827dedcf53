package route

import (
	"crypto/sha256"
	"strings"
)

// Organisation is a customer of the operator whose requests are authenticated by a key.
type Organisation struct {
	Name          string
	Priority      *int    // Takes precedence over the priority of the route; nil if not stated.
	RatePerSecond float64 // Limit of the requests per second; zero for no limit.
	Burst         float64 // Requests beyond the rate that may arrive at once; zero for no limit.
}

// KeyHash is the SHA-256 hash of a key. Keys are kept only as hashes, so that no log line or dump of a configuration contains
// one, and so that the time of a lookup does not depend on how much of a guessed key is right.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key. It allocates only for a text that is too long for a key.
func HashKey(key string) KeyHash {
	if len(key) > maxKeyBytes {
		return sha256.Sum256([]byte(key))
	}
	var buffer [maxKeyBytes]byte // A conversion of the string would allocate above 32 bytes.
	return sha256.Sum256(buffer[:copy(buffer[:], key)])
}

// Organisations are the organisations of a configuration and their keys. They are immutable once they are part of a Table.
type Organisations struct {
	ByName map[string]*Organisation
	ByKey  map[KeyHash]*Organisation
}

// NewOrganisations returns an empty set of organisations, with which every key is refused.
func NewOrganisations() *Organisations {
	return &Organisations{ByName: map[string]*Organisation{}, ByKey: map[KeyHash]*Organisation{}}
}

// Add adds an organisation with its keys. The caller has checked that the name and the keys are unique.
func (s *Organisations) Add(o Organisation, keys ...string) {
	s.ByName[o.Name] = &o
	for _, key := range keys {
		s.ByKey[HashKey(key)] = &o
	}
}

// bearerScheme is the authentication scheme of keys. Schemes are case-insensitive (RFC 9110, section 11.1).
const bearerScheme = "Bearer"

// BearerKey returns the key in the value of a header Authorization. It reports false if the value does not have the form
// "Bearer KEY".
func BearerKey(authorization string) (string, bool) {
	scheme, key, ok := strings.Cut(authorization, " ")
	if !ok || !strings.EqualFold(scheme, bearerScheme) {
		return "", false
	}
	key = strings.TrimLeft(key, " ")
	return key, IsKey(key)
}

// maxKeyBytes limits the length of a key. It bounds the work for a header of an unauthenticated caller.
const maxKeyBytes = 512

// IsKey reports whether a text can be a key: it has 1 to 512 visible ASCII characters.
func IsKey(text string) bool {
	if text == "" || len(text) > maxKeyBytes {
		return false
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// HasOrganisations reports whether requests must carry a key unless their route is public.
func (t *Table) HasOrganisations() bool { return t.Config.Organisations != nil }

// Authenticate returns the organisation to which the key in a header Authorization belongs. It reports false if the value is
// malformed, the key is unknown or the configuration has no organisations.
func (t *Table) Authenticate(authorization string) (*Organisation, bool) {
	if t.Config.Organisations == nil {
		return nil, false
	}
	key, ok := BearerKey(authorization)
	if !ok {
		return nil, false
	}
	o, ok := t.Config.Organisations.ByKey[HashKey(key)]
	return o, ok
}

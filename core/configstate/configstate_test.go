package configstate

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"jackdawbay.dev/api/records"
)

// decode decodes a test record in the format "name generation [deleted]".
func decode(value []byte) (records.Record, error) {
	f := strings.Fields(string(value))
	if len(f) < 2 {
		return records.Record{}, errors.New("malformed")
	}
	g, err := strconv.ParseInt(f[1], 10, 64)
	r := records.Record{Kind: records.KindLimit, Name: f[0], Generation: g, Limit: &records.Limit{Class: f[0], MaxTurns: int(g)}}
	if len(f) > 2 {
		r.Deleted, r.Limit = true, nil
	}
	return r, err
}

// Guards against a configuration that is reverted by an older generation, the same generation, a tombstone or an
// undecodable value.
func TestApplyNewer(t *testing.T) {
	cases := []struct {
		name    string
		values  string
		turns   int // MaxTurns of class a in force; 420 is the default without a record.
		applied int
		errs    int
	}{
		{"newer replaces", "a 1,a 2", 2, 2, 0},
		{"older is ignored", "a 2,a 1", 2, 1, 0},
		{"same generation is ignored", "a 2,a 2", 2, 1, 0},
		{"tombstone deletes", "a 1,a 2 deleted", 420, 2, 0},
		{"older record after a tombstone", "a 2 deleted,a 1", 420, 1, 0},
		{"newer record after a tombstone", "a 2 deleted,a 3", 3, 2, 0},
		{"undecodable value is ignored", "a 1,a", 1, 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := New(decode)
			applied, errs := 0, 0
			for _, v := range strings.Split(c.values, ",") {
				a, f := s.ApplyNewer([]byte(v))
				applied += len(a)
				errs += len(f)
			}
			must.Eq(t, c.turns, s.RecordSet().Limit("a").MaxTurns)
			must.Eq(t, c.applied, applied)
			must.Eq(t, c.errs, errs)
		})
	}
}

// Guards against daemons whose configurations differ after each has exchanged records with the next one. Any order of
// updates and exchanges must result in the same digest and must never lower a generation.
func TestPeersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := []*State{New(decode), New(decode), New(decode)}
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			i := rapid.IntRange(0, 2).Draw(t, "peer")
			before := peers[i].Generations()
			text := fmt.Sprintf("%s %d", rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), rapid.IntRange(1, 9).Draw(t, "generation"))
			peers[i].ApplyNewer([]byte(text))
			for key, g := range peers[i].Generations() {
				if g < before[key] {
					t.Fatalf("%s changed from generation %d to %d", key, before[key], g)
				}
			}
		}
		for range 2 {
			for i, p := range peers {
				next := peers[(i+1)%len(peers)]
				for _, s := range p.NewerThan(next.Generations()) {
					next.ApplyNewer(s.Value)
				}
			}
		}
		if peers[0].Digest() != peers[1].Digest() || peers[1].Digest() != peers[2].Digest() {
			t.Fatalf("digests differ")
		}
	})
}

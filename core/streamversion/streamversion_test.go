package streamversion

import (
	"testing"

	"github.com/shoenig/test"
	"pgregory.net/rapid"
)

// Guards against a stream that goes on at another version, against a guess, and against a rejection if its version serves.
func TestResume(t *testing.T) {
	serving := func(versions ...string) []Upstream {
		var list []Upstream
		for _, v := range versions {
			list = append(list, Upstream{Version: v, Accepts: true})
		}
		return list
	}
	leaving := Upstream{Version: "v1"}
	for _, c := range []struct {
		name, recorded string
		upstreams      []Upstream
		restriction    Restriction
		result         Result
	}{
		{"one version", "v1", serving("v1", "v1"), To("v1"), GoesOn},
		{"two versions", "v1", serving("v2", "v1"), To("v1"), GoesOn},
		{"newer version", "v2", serving("v2", "v1"), To("v2"), GoesOn},
		{"version has left", "v1", serving("v2", "v2"), Restriction{}, VersionGone},
		{"version leaves", "v1", append(serving("v2"), leaving), Restriction{}, VersionGone},
		{"one of two leaves", "v1", append(serving("v1", "v2"), leaving), To("v1"), GoesOn},
		{"unknown, two versions", "", serving("v1", "v2"), Restriction{}, VersionUnknown},
		{"unknown, one version serves now", "", serving("v1", "v1"), Restriction{}, VersionUnknown},
		{"unknown, some state no version", "", serving("", "v1"), Restriction{}, VersionUnknown},
		{"no versions", "", serving("", ""), To(""), GoesOn},
		{"known, others state no version", "v1", serving("", ""), Restriction{}, VersionGone},
		{"no list yet", "v1", nil, Restriction{}, NoUpstream},
		{"no list yet, unknown", "", nil, Restriction{}, NoUpstream},
	} {
		t.Run(c.name, func(t *testing.T) {
			restriction, result := Resume(c.recorded, c.upstreams)
			test.Eq(t, c.restriction, restriction)
			test.EqOp(t, c.result, result)
		})
	}
}

func TestRestrictionAllows(t *testing.T) {
	test.True(t, Restriction{}.Allows("v1"))
	test.True(t, To("v1").Allows("v1"))
	test.False(t, To("v1").Allows("v2"))
	test.False(t, To("v1").Allows(""))
	test.False(t, To("").Allows("v1"), test.Sprint("no version is a version of its own"))
}

func TestBegin(t *testing.T) {
	test.EqOp(t, "v1", Begin([]Upstream{{Version: "v1"}, {Version: "v1", Accepts: true}}).Version)
	test.EqOp(t, "", Begin([]Upstream{{Version: "v1"}, {Version: "v2", Accepts: true}}).Version)
	test.EqOp(t, "", Begin(nil).Version)
}

// Guards against a caller that has events of a stream whose stored version is that of another upstream, whichever records reach
// the store. The one with the highest attempt counts.
func TestRecordNeverNamesAnotherVersion(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		versions := rapid.SampledFrom([]string{"", "v1", "v2"})
		record := Record{Version: versions.Draw(rt, "sole version at the begin")}
		stored := record
		for range rapid.IntRange(1, 5).Draw(rt, "upstreams") {
			version := versions.Draw(rt, "version")
			next, changed := record.Use(version)
			if next.Version != version {
				rt.Fatalf("%+v for %q", next, version)
			}
			record = next
			isStored := !changed && stored == record
			if changed && rapid.Bool().Draw(rt, "stored") {
				stored, isStored = record, true
			}
			mayForward := isStored || !record.Corrects
			if mayForward && stored.Version != "" && stored.Version != version {
				rt.Fatalf("events of %q, stored %+v", version, stored)
			}
		}
	})
}

// Package streamversion decides at which upstreams a stream may go on. Upstreams of several software versions may serve one
// service, and the events of two versions do not fit together: a stream goes on only at the version that began it. It does no
// I/O.
package streamversion

// Upstream is what the decision needs of an upstream. An entry without a version has the version "", which differs from all
// others.
type Upstream struct {
	Version string
	Accepts bool // It accepts requests: it is neither draining nor leaving.
}

// Restriction limits a request to the upstreams of one version. The zero value is no limit.
type Restriction struct {
	Applies bool
	Version string
}

// To returns the restriction to a version.
func To(version string) Restriction { return Restriction{Applies: true, Version: version} }

// Allows reports whether an upstream of a version may get the request.
func (r Restriction) Allows(version string) bool { return !r.Applies || r.Version == version }

// Result is the result of a take-up, in which a caller requests the rest of a stream that has broken off.
type Result string

// Results of take-ups.
const (
	GoesOn         Result = "goes_on"
	VersionGone    Result = "version_gone"    // No upstream of the version that began the stream accepts requests.
	VersionUnknown Result = "version_unknown" // Nothing shows which version began the stream.
	NoUpstream     Result = "no_upstream"     // No upstream of the service is known, of any version.
	EventsUnknown  Result = "events_unknown"  // The events before the take-up belong to a turn that is to be stored, and are not known.
)

// Resume decides where a stream that a caller takes up may go on. The argument recorded is the version that began it, or an
// empty string if that is unknown. If no upstream states a version, streams go on at any of them.
func Resume(recorded string, upstreams []Upstream) (Restriction, Result) {
	if len(upstreams) == 0 {
		return Restriction{}, NoUpstream
	}
	if recorded == "" {
		if version, ok := Sole(upstreams); ok && version == "" {
			return To(""), GoesOn
		}
		return Restriction{}, VersionUnknown
	}
	for _, u := range upstreams {
		if u.Accepts && u.Version == recorded {
			return To(recorded), GoesOn
		}
	}
	return Restriction{}, VersionGone
}

// Sole returns the version of all upstreams, also of those that do not accept requests, or false if there is none or more than
// one.
func Sole(upstreams []Upstream) (string, bool) {
	for _, u := range upstreams {
		if u.Version != upstreams[0].Version {
			return "", false
		}
	}
	if len(upstreams) == 0 {
		return "", false
	}
	return upstreams[0].Version, true
}

// Record is the stored version of a stream. A record with a higher attempt replaces others. The zero value names no version.
type Record struct {
	Version string
	Attempt int
	// Corrects states that an earlier record may be stored and names another version. Until this record is stored, nothing of
	// the stream may reach the caller.
	Corrects bool
}

// Begin returns the record that is stored with the begin of a stream, before an upstream has been chosen.
func Begin(upstreams []Upstream) Record {
	version, _ := Sole(upstreams)
	return Record{Version: version}
}

// Use returns the record of a stream that an upstream of a version is to begin, and whether it differs from r and is to be
// stored.
func (r Record) Use(version string) (Record, bool) {
	if version == r.Version {
		return r, false
	}
	return Record{Version: version, Attempt: r.Attempt + 1, Corrects: r.Corrects || r.Version != ""}, true
}

package records

import (
	"slices"
	"strings"

	v1 "jackdawbay.dev/api/records/v1"
	v2 "jackdawbay.dev/api/records/v2"
)

// Version is a version of the document format.
type Version string

// Document versions.
const (
	V1 Version = v1.APIVersion
	V2 Version = v2.APIVersion
)

// Versions lists all versions, oldest first.
var Versions = []Version{V1, V2}

// KindSchema is the schema of the documents of one kind in one version.
type KindSchema struct {
	Version Version `json:"version"`
	Kind    Kind    `json:"kind"`
	Doc     string  `json:"doc"`
	Spec    Field   `json:"spec"`
}

// Schema returns the schema of a kind in a version. It returns false if the version or the kind is unknown.
func Schema(v Version, k Kind) (KindSchema, bool) {
	if !slices.Contains(Versions, v) {
		return KindSchema{}, false
	}
	doc, ok := kindDocs[k]
	if !ok {
		return KindSchema{}, false
	}
	spec := Field{Name: "spec", Type: TypeObject, Required: true, Doc: "The content of the record.", Fields: specFields[v][k]}
	return KindSchema{Version: v, Kind: k, Doc: doc, Spec: spec}, true
}

// FindField returns the field with the given path, such as spec.routes.timeout or routes.timeout.
func (s KindSchema) FindField(path string) (Field, bool) {
	f := s.Spec
	path = strings.TrimPrefix(strings.NewReplacer("[]", "", "{}", "").Replace(path), "spec")
	for _, name := range strings.Split(strings.TrimPrefix(path, "."), ".") {
		if name == "" {
			continue
		}
		if f.Elem != nil {
			f = *f.Elem
		}
		i := slices.IndexFunc(f.Fields, func(c Field) bool { return c.Name == name })
		if i < 0 {
			return Field{}, false
		}
		f = f.Fields[i]
	}
	return f, true
}

// maxInteger is the upper bound of integer fields. Larger integers are not exact in decoders that read JSON numbers as
// float64.
const maxInteger = 1 << 53

var kindDocs = map[Kind]string{
	KindDataCentre: "Places a data centre in a region. The name of the record is the name of the data centre.",
	KindTenant:     "Describes a customer. The name of the record is the name of the tenant.",
	KindModel:      "Describes a model and where it is wanted. The name of the record is the name that callers use.",
	KindUpstream:   "Describes one back end: a model engine, a tool service or a plain service.",
	KindBudget:     "Limits the tokens of a tenant and of each of its programs.",
	KindLimit:      "Limits the programs and calls of a class. The class \"default\" applies to every class without a record.",
	KindPlacement:  "Sets the weights of scheduling decisions for an engine group.",
	KindResolution: "States the outcome of a non-idempotent call whose outcome is unknown.",
}

func textField(name, doc string, format *Format) Field {
	return Field{Name: name, Type: TypeString, Doc: doc, Min: 1, Max: 256, Format: format, Required: true}
}

func optionalTextField(name, doc string, format *Format) Field {
	return Field{Name: name, Type: TypeString, Doc: doc, Max: 256, Format: format, Default: ""}
}

func enumField(name, doc string, defaultValue any, values ...string) Field {
	return Field{Name: name, Type: TypeString, Doc: doc, Enum: values, Default: defaultValue, Required: defaultValue == nil}
}

func boolField(name, doc string) Field {
	return Field{Name: name, Type: TypeBoolean, Doc: doc, Default: false}
}

// integerField returns an integer field. It is required if defaultValue is nil.
func integerField(name, unit string, lo, hi float64, defaultValue any, doc string) Field {
	return Field{Name: name, Type: TypeInteger, Unit: unit, Min: lo, Max: hi, Default: defaultValue, Required: defaultValue == nil, Doc: doc}
}

func numberField(name, unit string, lo, hi float64, defaultValue any, doc string) Field {
	return Field{Name: name, Type: TypeNumber, Unit: unit, Min: lo, Max: hi, Default: defaultValue, Required: defaultValue == nil, Doc: doc}
}

// durationField returns a duration field in the format of version v. In v1, the name has the suffix Seconds and the
// value is a number. In v2, the value is a string with a unit. The bounds and the default are in seconds.
func durationField(v Version, name string, lo, hi, defaultSeconds float64, doc string) Field {
	if v == V1 {
		return Field{Name: name + "Seconds", Type: TypeSeconds, Unit: "s", Min: lo, Max: hi, Default: defaultSeconds, Doc: doc}
	}
	return Field{Name: name, Type: TypeDuration, Unit: "ms, s, m or h", Min: lo, Max: hi, Default: FormatDuration(boundDuration(defaultSeconds)), Doc: doc}
}

const (
	secondsPerHour = 3600
	secondsPerDay  = 24 * secondsPerHour
)

var specFields = map[Version]map[Kind][]Field{V1: buildSpecFields(V1), V2: buildSpecFields(V2)}

func buildSpecFields(v Version) map[Kind][]Field {
	return map[Kind][]Field{
		KindDataCentre: dataCentreFields(),
		KindTenant:     tenantFields(),
		KindModel:      modelFields(),
		KindUpstream:   upstreamFields(v),
		KindBudget:     budgetFields(v),
		KindLimit:      limitFields(v),
		KindPlacement:  placementFields(v),
		KindResolution: resolutionFields(),
	}
}

func dataCentreFields() []Field {
	return []Field{
		textField("region", "Region of the data centre.", formatName),
		integerField("weightStoreBytesPerSecond", "bytes/s", 1, 1e12, int64(50_000_000),
			"Rate at which all engines of the data centre together read the weight store."),
	}
}

func tenantFields() []Field {
	hash := Field{Type: TypeString, Doc: "SHA-256 of a bearer key.", Min: 64, Max: 64, Format: formatHash, Required: true, Secret: true}
	return []Field{
		{Name: "keyHashes", Type: TypeList, Doc: "Valid bearer keys as SHA-256. Two during a rotation.", Required: true,
			Min: 1, Max: 2, UniqueBy: ".", Secret: true, Elem: &hash},
		numberField("weight", "", 0.01, 1000, 1.0, "Share of engine time relative to other tenants."),
		integerField("maxPrograms", "programs", 1, 1e6, int64(1000), "Programs that run at once in each data centre."),
	}
}

func modelFields() []Field {
	adapter := textField("", "Name of an adapter.", formatModelName)
	replicas := integerField("", "engines", 0, 600, nil, "Ready engines that are wanted in the data centre.")
	return []Field{
		textField("group", "Engine group that serves the model.", formatName),
		textField("version", "Version of the weights.", formatModelName),
		{Name: "adapters", Type: TypeList, Doc: "Adapters that engines load with the model.", Max: 64, UniqueBy: ".", Elem: &adapter},
		integerField("contextTokens", "tokens", 1, 1e8, nil, "Largest prompt plus output."),
		integerField("maxOutputTokens", "tokens", 1, 1e8, nil, "Largest output of one call."),
		{Name: "replicas", Type: TypeMap, Doc: "Ready engines that are wanted, by data centre.", Max: 64, Format: formatName, Elem: &replicas},
		integerField("weightBytes", "bytes", 1, 1e14, nil, "Size of the weights."),
	}
}

func upstreamFields(v Version) []Field {
	route := Field{Type: TypeObject, Doc: "One route.", Required: true, Fields: routeFields(v)}
	return []Field{
		enumField("type", "Type of the upstream. A service is a tool service or a plain service.", nil, string(UpstreamEngine), string(UpstreamService)),
		optionalTextField("group", "Engine group. Required for an engine, not allowed for a service.", formatName),
		textField("dataCentre", "Data centre of the upstream.", formatName),
		textField("address", "Address of the upstream.", formatAddress),
		optionalTextField("role", "Wanted role of an engine. Empty: the role is not changed.", formatName),
		integerField("slots", "requests", 1, 4096, int64(1), "Requests that run at once and do not queue inside the upstream."),
		integerField("cacheTokens", "tokens", 0, 1e12, int64(0), "Size of the prefix cache of an engine."),
		boolField("checksFencing", "The engine refuses an order with an old fencing token."),
		boolField("honoursIdempotencyKeys", "The service runs a repeated Idempotency-Key once and returns the first outcome."),
		boolField("outcomeLookup", "The service serves GET /v1/idempotency/{key}."),
		boolField("leaving", "The upstream gets no new work."),
		{Name: "routes", Type: TypeList, Doc: "Behaviour of calls by path. A call that no route names runs at most once.", Max: 256, Elem: &route},
	}
}

func routeFields(v Version) []Field {
	fields := []Field{
		enumField("method", "HTTP method. Empty: every method.", "", "", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"),
		textField("pathPrefix", "The route with the longest prefix of the path applies.", formatPath),
	}
	if v == V1 {
		fields = append(fields, boolField("repeatable", "A call may be repeated. False: a call runs at most once."))
	} else {
		fields = append(fields, enumField("idempotency", "safe: a call may be repeated. unsafe: a call runs at most once.",
			v2.IdempotencyUnsafe, v2.IdempotencySafe, v2.IdempotencyUnsafe))
	}
	return append(fields, durationField(v, "timeout", 0, secondsPerHour, 0, "Deadline of a call. Zero: the tool timeout of the class."))
}

func budgetFields(v Version) []Field {
	tenant := textField("tenant", "Tenant that the budget limits.", formatName)
	link := integerField("linkBytesPerDay", "bytes/day", 0, maxInteger, int64(0), "Bytes of KV cache that may cross regions. Zero: none.")
	const programDoc, dayDoc = "Tokens of one program.", "Tokens of all programs of the tenant."
	const sharesDoc = "Fractions of the daily tokens by data centre; the sum is at most 1. Empty: equal shares."
	fraction := numberField("fraction", "", 0, 1, nil, "Fraction of the daily tokens.")
	if v == V1 {
		fraction.Name = ""
		return []Field{
			tenant,
			integerField("tokensPerProgram", "tokens", 1, maxInteger, int64(DefaultTokensPerProgram), programDoc),
			integerField("tokensPerDay", "tokens/day", 1, maxInteger, nil, dayDoc),
			{Name: "shares", Type: TypeMap, Doc: sharesDoc, Max: 64, Format: formatName, Elem: &fraction},
			link,
		}
	}
	share := Field{Type: TypeObject, Doc: "Share of one data centre.", Required: true, Fields: []Field{
		textField("dataCentre", "Data centre of the share.", formatName), fraction,
	}}
	return []Field{
		tenant,
		{Name: "tokens", Type: TypeObject, Required: true, Doc: "Token bounds.", Fields: []Field{
			integerField("perProgram", "tokens", 1, maxInteger, int64(DefaultTokensPerProgram), programDoc),
			integerField("perDay", "tokens/day", 1, maxInteger, nil, dayDoc),
		}},
		{Name: "shares", Type: TypeList, Doc: sharesDoc, Max: 64, UniqueBy: "dataCentre", Elem: &share},
		link,
	}
}

func limitFields(v Version) []Field {
	d := DefaultLimit()
	ratio := numberField("ratio", "retries/attempt", 0, 10, d.RetryRatio, "Retries of idempotent calls for each first attempt of the class.")
	attempts := integerField("maxAttempts", "attempts", 1, 100, int64(d.MaxAttempts), "Attempts of one idempotent call, the first included.")
	fields := []Field{
		textField("class", "Class of programs that the record limits.", formatName),
		integerField("maxTurns", "turns", 1, 100_000, int64(d.MaxTurns), "Turns of one program."),
		integerField("queueDepth", "calls", 1, 1e6, int64(d.QueueDepth), "Calls that wait for each engine group and data centre."),
		durationField(v, "callTimeout", 0.001, secondsPerDay, d.CallTimeout.Seconds(), "Deadline of a call that states none."),
		durationField(v, "toolTimeout", 0.001, secondsPerHour, d.ToolTimeout.Seconds(), "Deadline of a service call whose route states none."),
		durationField(v, "programExpiry", 1, 30*secondsPerDay, d.ProgramExpiry.Seconds(), "Idle time after which a program ends."),
	}
	if v == V1 {
		ratio.Name = "retryRatio"
		fields = append(fields, ratio, attempts)
	} else {
		fields = append(fields, Field{Name: "retry", Type: TypeObject, Doc: "Bounds of retries.", Fields: []Field{ratio, attempts}})
	}
	return append(fields, numberField("weight", "", 0.01, 1000, d.Weight, "Share of engine time relative to other classes."))
}

func placementFields(v Version) []Field {
	d := DefaultPlacement("")
	return []Field{
		textField("group", "Engine group.", formatName),
		numberField("latencyWeight", "", 0, 1000, d.LatencyWeight, "Weight of program latency."),
		numberField("cacheWeight", "", 0, 1000, d.CacheWeight, "Weight of prompt tokens that must be recomputed."),
		integerField("linkBytesPerSecond", "bytes/s", 0, 1e12, d.LinkBytesPerSecond, "Rate of KV cache transfers between regions. Zero: none."),
		numberField("ageingPerSecond", "1/s", 0, 1000, d.AgeingPerSecond, "Priority that a waiting call gains each second."),
		durationField(v, "holdPaused", 0, secondsPerDay, d.HoldPaused.Seconds(), "Longest time for which the cache of a paused program is kept."),
	}
}

func resolutionFields() []Field {
	reason := optionalTextField("reason", "How the operator found the outcome.", formatPrintable)
	reason.Max = 1024
	return []Field{
		textField("program", "Id of the program.", formatProgram),
		textField("callKey", "Call key of the call.", formatPrintable),
		enumField("outcome", "ran: the call had its effect. not_run: it had no effect and never will.", nil, string(OutcomeRan), string(OutcomeNotRun)),
		reason,
	}
}

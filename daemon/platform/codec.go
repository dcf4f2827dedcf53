package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Verb is the kind of a call to the object API.
type Verb string

// Verbs of the object API.
const (
	VerbGet       Verb = "get"
	VerbPut       Verb = "put" // Creates the object if IfVersion is zero.
	VerbPutStatus Verb = "put_status"
	VerbDelete    Verb = "delete"
	VerbList      Verb = "list"
	VerbWatch     Verb = "watch"
	VerbVMs       Verb = "vms"
)

// Call is one call to the object API, independent of the wire format. Each verb uses a subset of the fields.
type Call struct {
	Verb      Verb
	Kind      string
	Name      string
	IfVersion uint64          // Condition of a write.
	Value     json.RawMessage // Value or status to write.
	Prefix    string          // Prefix of the names to list.
	After     string          // Name after which a list begins.
	Limit     int             // Max objects of a list; zero sets no limit.
	Since     uint64          // Revision after which a watch begins.
	Wait      time.Duration   // Max wait of a watch for events.
}

// Codec encodes calls to an object API and decodes the bodies of its responses.
type Codec interface {
	Encode(c Call) (method, pathAndQuery string, body []byte)
	DecodeObject(kind string, body []byte) (Object, error)
	DecodeConflict(kind string, body []byte) (*Object, error) // Nil if the object does not exist.
	DecodeVersion(body []byte) (uint64, error)                // Version of the object after a write.
	DecodePage(kind string, body []byte) (Page, error)
	DecodeEvents(kind string, body []byte) (revision uint64, events []Event, err error)
}

// nativeCodec is the codec of the project's own object API, which the stand-in servers implement.
type nativeCodec struct{}

// objectPath returns the URL path of an object.
func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func (nativeCodec) Encode(c Call) (method, path string, body []byte) {
	switch c.Verb {
	case VerbPut, VerbPutStatus:
		return http.MethodPut, objectPath(c.Kind, c.Name),
			fmt.Appendf(nil, `{"if_version":%d,"value":%s}`, c.IfVersion, c.Value)
	case VerbDelete:
		return http.MethodDelete, objectPath(c.Kind, c.Name) + "?if_version=" + strconv.FormatUint(c.IfVersion, 10), nil
	case VerbList:
		query := url.Values{}
		if c.Prefix != "" {
			query.Set("prefix", c.Prefix)
		}
		if c.After != "" {
			query.Set("after", c.After)
		}
		if c.Limit > 0 {
			query.Set("limit", strconv.Itoa(c.Limit))
		}
		return http.MethodGet, "/v1/objects/" + url.PathEscape(c.Kind) + "?" + query.Encode(), nil
	case VerbWatch:
		path := fmt.Sprintf("/v1/watch/%s?since=%d&wait_ms=%d", url.PathEscape(c.Kind), c.Since, c.Wait.Milliseconds())
		return http.MethodGet, path, nil
	case VerbVMs:
		return http.MethodGet, "/v1/vms", nil
	default:
		return http.MethodGet, objectPath(c.Kind, c.Name), nil
	}
}

func (nativeCodec) DecodeObject(_ string, body []byte) (Object, error) {
	var o Object
	err := json.Unmarshal(body, &o)
	return o, err
}

func (nativeCodec) DecodeConflict(_ string, body []byte) (*Object, error) {
	var response struct {
		Current *Object `json:"current"`
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return nil, err
	}
	if response.Current != nil && response.Current.Name == "" {
		return nil, nil
	}
	return response.Current, nil
}

func (nativeCodec) DecodeVersion(body []byte) (uint64, error) {
	var response struct {
		Version uint64 `json:"version"`
	}
	err := json.Unmarshal(body, &response)
	return response.Version, err
}

func (nativeCodec) DecodePage(_ string, body []byte) (Page, error) {
	var p Page
	err := json.Unmarshal(body, &p)
	return p, err
}

func (nativeCodec) DecodeEvents(_ string, body []byte) (uint64, []Event, error) {
	var response struct {
		Revision uint64  `json:"revision"`
		Events   []Event `json:"events"`
	}
	err := json.Unmarshal(body, &response)
	return response.Revision, response.Events, err
}

// Package agent implements a caller for scenarios. It runs programs against daemons through api/client, checks every
// response and writes a report. A final check compares the reports with the ledgers of the services, the histories at
// the daemons and the caches of the engines.
package agent

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
)

// Topology lists the endpoints, names and keys of an installation.
type Topology struct {
	CallerURLs     map[string]string `json:"callers"`  // Base URL of the caller listener by VM.
	EngineURLs     map[string]string `json:"engines"`  // Base URL by engine name.
	ServiceURLs    map[string]string `json:"services"` // Base URL by service name.
	TenantKey      string            `json:"tenant_key"`
	UpstreamKey    string            `json:"upstream_key"`
	Model          string            `json:"model"`
	OrderPath      string            `json:"order_path"`
	PrinterService string            `json:"printer"` // Service whose orders must not be repeated.
	StockService   string            `json:"stock"`   // Service whose calls may be repeated.
	ReplyTokens    int               `json:"reply_tokens"`
}

// ReadTopology reads a topology from a JSON file.
func ReadTopology(path string) (Topology, error) {
	var t Topology
	err := readJSON(path, &t)
	return t, err
}

func readJSON(path string, result any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read file")
	}
	return errors.Wrapf(json.Unmarshal(raw, result), "decode %s", path)
}

func writeJSON(path string, value any) error {
	raw, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode file")
	}
	return errors.Wrap(os.WriteFile(path, raw, 0o600), "write file")
}

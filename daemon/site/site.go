// Package site defines the settings of the VM and the deployment that a process runs in. They are independent of the format
// of the platform's settings file, which is one source of them.
package site

import "time"

// Settings describes the VM, its data centres and regions, and the limits of the deployment.
type Settings struct {
	VM         string
	DataCentre string
	Region     string
	Regions    map[string]string // Region by data centre.
	IP         string

	CallerListen  string // Address of the listener for callers; empty on VMs that serve none.
	ReadyListen   string // Address of the listener for the balancer's readiness checks and for metrics.
	ReplicaListen string // Address of the listener of a replica.
	OpsListen     string // Address of the listener for metrics, on processes without a ready listener.

	DataDir        string // Data directory; empty on a VM without a disk.
	MaxMemoryBytes int64  // Memory limit of the process.
	MaxFDs         int

	ToleratedFailures int           // Number of VMs with a disk that may fail at the same time.
	StopTimeout       time.Duration // Time between SIGTERM and SIGKILL.

	// In a window, (rate*QuotaWindow + burst)*(1 + QuotaOver) + QuotaSlack requests of an organisation may run.
	QuotaWindow time.Duration
	QuotaOver   float64
	QuotaSlack  float64

	StoreAddress         string
	StoreWritesPerSecond float64 // Max writes per second that the store accepts from all daemons together.
	StoreReadsPerSecond  float64
}

// RegionOf returns the region of a data centre.
func (s Settings) RegionOf(dataCentre string) string { return s.Regions[dataCentre] }

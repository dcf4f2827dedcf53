// Package site holds what a process learns about the VM and the deployment that it runs in. The platform's settings file is
// one source of it; the fields and their meaning are the product's own.
package site

import "time"

// Settings describe the VM, its neighbours and the bounds of the deployment.
type Settings struct {
	VM         string
	DataCentre string
	Region     string
	Regions    map[string]string // Region of each data centre.
	IP         string

	CallerListen  string // Listener for callers; empty on VMs that take none.
	ReadyListen   string // Listener for the balancer's question whether the daemon is ready, and for metrics.
	ReplicaListen string // Listener of a replica.
	OpsListen     string // Listener for metrics of a process without a ready listener.

	DataDir        string // Empty on a VM without a disk.
	MaxMemoryBytes int64  // Bound of the process.
	MaxFDs         int

	Tolerate    int           // VMs with a disk that may be lost at the same time.
	StopTimeout time.Duration // Time between the order to stop and the kill.

	StoreAddress         string
	StoreWritesPerSecond float64 // Writes a second that the store takes from all daemons together.
	StoreReadsPerSecond  float64
}

// RegionOf returns the region of a data centre.
func (s Settings) RegionOf(dataCentre string) string { return s.Regions[dataCentre] }

//go:build !linux

package settings

import "github.com/cockroachdb/errors"

// machineMemory returns the memory of the machine in bytes. It is known on Linux only.
func machineMemory() (int64, error) { return 0, errors.New("memory of the machine is not known") }

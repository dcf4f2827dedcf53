package process

import "os"

// memoryFileSystem is where Linux mounts a file system in memory.
const memoryFileSystem = "/dev/shm"

// MemoryDir creates a directory for the data of processes and returns it with a function that removes it. It is in memory
// where that is possible: on a busy machine, a sync of a real disk can take longer than the processes wait for a replica.
// Otherwise it is the fallback, which the caller removes.
func MemoryDir(fallback string) (dir string, remove func() error) {
	dir, err := os.MkdirTemp(memoryFileSystem, "jackdawbay-")
	if err != nil {
		return fallback, func() error { return nil }
	}
	return dir, func() error { return os.RemoveAll(dir) }
}

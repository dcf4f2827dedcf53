package replica

import "syscall"

// Space returns the free bytes and the size of the disk of the directory.
func (d DirFS) Space() (free, total uint64, err error) {
	var s syscall.Statfs_t
	if err := syscall.Statfs(d.Dir, &s); err != nil {
		return 0, 0, err
	}
	return s.Bavail * uint64(s.Bsize), s.Blocks * uint64(s.Bsize), nil
}

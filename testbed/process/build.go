package process

import (
	"os"
	"os/exec"

	"github.com/cockroachdb/errors"
)

// BuildDaemon builds jackdawbayd into a new directory and returns it. The caller removes the directory. The error holds what
// the compiler said.
func BuildDaemon() (dir string, err error) {
	dir, err = os.MkdirTemp("", "jackdawbay-build-")
	if err != nil {
		return "", errors.Wrap(err, "create a directory for the daemon")
	}
	build := exec.Command("go", "build", "-o", dir+"/", "jackdawbay.dev/daemon/cmd/jackdawbayd")
	if output, err := build.CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "build the daemon: %s", output)
	}
	return dir, nil
}

package process

import (
	"fmt"
	"os"
	"os/exec"

	"github.com/cockroachdb/errors"
)

// RunWithDaemon builds jackdawbayd into a new directory, calls run with the directory and removes it. It returns the exit code
// of run, or 1 if the daemon cannot be built.
func RunWithDaemon(run func(binaryDir string) int) int {
	dir, err := os.MkdirTemp("", "jackdawbay-build-")
	if err != nil {
		fmt.Fprintln(os.Stderr, errors.Wrap(err, "create a directory for the daemon"))
		return 1
	}
	defer func() {
		if err := os.RemoveAll(dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
	build := exec.Command("go", "build", "-o", dir+"/", "jackdawbay.dev/daemon/cmd/jackdawbayd")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the daemon: %v\n%s", err, output)
		return 1
	}
	return run(dir)
}

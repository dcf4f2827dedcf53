package process

import (
	"fmt"
	"os"
	"os/exec"

	"github.com/cockroachdb/errors"
)

// RunWithDaemon builds jackdawbayd and further commands into a new directory, calls run with the directory and removes it. It returns
// the exit code of run, or 1 if a command cannot be built.
func RunWithDaemon(run func(binaryDir string) int, furtherPackages ...string) int {
	dir, err := os.MkdirTemp("", "jackdawbay-build-")
	if err != nil {
		fmt.Fprintln(os.Stderr, errors.Wrap(err, "create a directory for the commands"))
		return 1
	}
	defer func() {
		if err := os.RemoveAll(dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
	packages := append([]string{"jackdawbay.dev/daemon/cmd/jackdawbayd"}, furtherPackages...)
	build := exec.Command("go", append([]string{"build", "-o", dir + "/"}, packages...)...)
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the commands: %v\n%s", err, output)
		return 1
	}
	return run(dir)
}

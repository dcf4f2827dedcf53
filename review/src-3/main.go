package main

import (
	"fmt"
	"os"
)

// cases are the scripts by their number. Each returns an exit code. Without trouble, it does the same and leaves the disruption out.
var cases = map[string]func(d *Deployment, trouble bool) int{}

// main runs a case: review-3 NUMBER RECORD.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 NUMBER RECORD")
		os.Exit(ExitNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(run func(d *Deployment, trouble bool) int, record string) int {
	d, err := New(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	defer d.Close()
	code := run(d, os.Getenv("TROUBLE") != "0")
	d.Recordf("exit code %d", code)
	return code
}

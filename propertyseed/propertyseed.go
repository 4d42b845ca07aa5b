// Package propertyseed makes property tests draw the same cases in every run.
package propertyseed

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// seed is the one that is drawn from unless -rapid.seed names another.
const seed = "1"

// Run runs a package's tests and returns their exit code; it is to be called by TestMain.
func Run(m *testing.M) int {
	flag.Parse()
	if given := flag.Lookup("rapid.seed"); given != nil && given.Value.String() == "0" {
		if err := given.Value.Set(seed); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
	}
	return m.Run()
}

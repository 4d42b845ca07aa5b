//go:build review

// Command review-drive plays the cases of the review against daemons that run as processes of their own.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-drive CASE DIR")
		os.Exit(failed)
	}
	cases := map[string]func(*record, bool) (bool, error){"extra": playExtra, "bodies": playBodies, "unframed": playUnframed, "flood": playFlood}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(failed)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	r := &record{file: file, started: time.Now()}
	isBroken, err := play(r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.addf("cannot run: %v", err)
		fmt.Println("cannot run:", err)
		os.Exit(failed)
	case isBroken:
		r.addf("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(broken)
	}
	r.addf("the rule held")
	fmt.Println("the rule held")
	os.Exit(held)
}

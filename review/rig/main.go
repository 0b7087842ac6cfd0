// Command rig drives small deployments of zinccoved on loopback: a stand-in of the platform's store,
// workers as processes, and clients that compare what they get with what ran. Each case exits with 0 if
// the rule held, 1 if it was broken and 2 if the case could not run.
//
// Usage:
//
//	rig CASE RECORD    # at the root of the repository; TROUBLE=0 leaves out the disruption
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases run a case and report whether the rule was broken.
var cases = map[string]func(s *site, trouble bool) (broken bool, err error){
	"unframed": unframedCase,
	"deadline": deadlineCase,
	"moved":    movedCase,
	"silent":   silentCase,
	"poison":   poisonCase,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return exitFailed
	}
	if args[0] == "worker" {
		fmt.Fprintln(os.Stderr, runWorker(args[1]))
		return exitFailed
	}
	c := cases[args[0]]
	if c == nil {
		fmt.Fprintln(os.Stderr, "rig: unknown case", args[0])
		return exitFailed
	}
	s, err := newSite(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitFailed
	}
	defer s.close()
	broken, err := c(s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		s.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitFailed
	case broken:
		s.note("the rule was broken")
		return exitBroken
	}
	s.note("the rule held")
	return exitHeld
}

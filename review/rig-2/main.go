// Command review2 plays the scripts of the second review: it starts the routers of this repository as
// processes, with stand-ins for the store, workers and clients, and checks one rule.
//
//	review2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// record collects what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// count is a number that several goroutines add to.
type count struct{ n atomic.Int64 }

func (c *count) add()     { c.n.Add(1) }
func (c *count) get() int { return int(c.n.Load()) }

// trouble reports whether the disruption is played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// cases are the scripts by name. Each reports whether the rule was broken.
var cases = map[string]func(*fleet) (broken bool, err error){
	"stale":  stale,
	"limits": limits,
	"cold":   cold,
	"silent": silent,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		return 2
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close() //nolint:errcheck // each line was written
	rec := &record{start: time.Now(), file: file}
	f, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.close()
	broken, err := cases[os.Args[1]](f)
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		rec.add("the rule was broken")
		return 1
	}
	rec.add("the rule held")
	return 0
}

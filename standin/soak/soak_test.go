package soak

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// failed are seeds that once failed, with the kinds of faults that there were and
// the cause that was mended.
var failed = []struct {
	seed  uint64
	kinds int
	cause string
}{
	{100, 9, "the soak itself: it killed a router during its planned stop and took the exit for a wrong one"},
}

// short is the seed of every test run.
const short = 1

// seedsVariable names the environment variable with a number of fresh seeds to
// run besides, and firstVariable the one with the first of them.
const (
	seedsVariable = "ZINCCOVE_SOAK_SEEDS"
	firstVariable = "ZINCCOVE_SOAK_FIRST"
)

func TestSoak(t *testing.T) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin+"/", "zinccove.example/zinccove/cmd/...", "zinccove.example/standin/cmd/...")
	out, err := build.CombinedOutput()
	assert.NilError(t, err, string(out))
	runs := []Options{{Seed: short, Kinds: AllKinds}}
	for _, f := range failed {
		runs = append(runs, Options{Seed: f.seed, Kinds: f.kinds})
	}
	more, _ := strconv.Atoi(os.Getenv(seedsVariable)) // not set: none
	first, _ := strconv.ParseUint(os.Getenv(firstVariable), 10, 64)
	for i := range more {
		runs = append(runs, Options{Seed: first + uint64(i) + 100, Kinds: AllKinds})
	}
	for _, o := range runs {
		t.Run(fmt.Sprint(o.Seed), func(t *testing.T) {
			o.Bin, o.Routers, o.Duration = bin, 3, 6*time.Second
			report, err := Run(o)
			assert.NilError(t, err)
			t.Logf("%d requests, %d whole, faults %v", report.Requests, report.Whole, report.Faults)
			for _, v := range report.Violations {
				t.Error(v)
			}
			assert.Assert(t, report.Whole > 0)
		})
	}
}

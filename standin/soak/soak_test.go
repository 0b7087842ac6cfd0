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
// run besides, firstVariable the one with the first of them, and kindsVariable the one with the
// number of kinds of faults that they draw from, all if it is not set.
const (
	seedsVariable = "ZINCCOVE_SOAK_SEEDS"
	firstVariable = "ZINCCOVE_SOAK_FIRST"
	kindsVariable = "ZINCCOVE_SOAK_KINDS"
)

// apart has a router in each of three data centres.
func apart(seed uint64, kinds int) Options {
	return Options{Seed: seed, Kinds: kinds, Routers: 3, DataCentres: 3}
}

// together has five routers in one data centre, two of which follow the store through the
// others.
func together(seed uint64, kinds int) Options {
	return Options{Seed: seed, Kinds: kinds, Routers: 5, DataCentres: 1}
}

func TestSoak(t *testing.T) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin+"/", "zinccove.example/zinccove/cmd/...", "zinccove.example/standin/cmd/...")
	out, err := build.CombinedOutput()
	assert.NilError(t, err, string(out))
	runs := []Options{apart(short, AllKinds), together(short+1, AllKinds)}
	for _, f := range failed {
		runs = append(runs, apart(f.seed, f.kinds))
	}
	more, _ := strconv.Atoi(os.Getenv(seedsVariable)) // not set: none
	first, _ := strconv.ParseUint(os.Getenv(firstVariable), 10, 64)
	kinds, err := strconv.Atoi(os.Getenv(kindsVariable))
	if err != nil {
		kinds = AllKinds
	}
	for i := range more {
		seed := first + uint64(i) + 100
		if seed%2 == 0 {
			runs = append(runs, apart(seed, kinds))
		} else {
			runs = append(runs, together(seed, kinds))
		}
	}
	for _, o := range runs {
		t.Run(fmt.Sprint(o.Seed), func(t *testing.T) {
			o.Bin, o.Duration = bin, 6*time.Second
			report, err := Run(o)
			assert.NilError(t, err)
			t.Logf("%d requests, %d whole, %d of %d resumed streams whole, faults %v",
				report.Requests, report.Whole, report.ResumedWhole, report.Resumed, report.Faults)
			for _, v := range report.Violations {
				t.Error(v)
			}
			if report.Logs != "" {
				t.Log(report.Logs)
			}
			assert.Assert(t, report.Whole > 0)
		})
	}
}

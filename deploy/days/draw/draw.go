// Command draw draws days of trouble from seeds: mixtures of targets that
// leave, floods, and faults of the store, the links and the hosts.
//
// Every kind of fault is as likely as any other, whatever a deployment's own days
// hold, so that pairs come up that nobody thought of. Planned departures of targets
// are in every day: most of what a router believes ages by them.
//
// # Usage
//
//	go run ./deploy/days/draw --seed 7 > day.toml // always the same for a seed
//
// The script deploy/days/grid plays many of them and sums up what broke.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
)

func main() {
	var o struct {
		Seed uint64 `long:"seed" required:"true" description:"the seed of the day"`
	}
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2) // the parser has printed why
	}
	fmt.Print(draw(o.Seed))
}

// kind is a kind of trouble and what of it is drawn.
type kind struct {
	name string
	// hows are its variants; empty is the plain one.
	hows []string
	// share, strength, seconds and gap are ranges; those that are zero are left out.
	share, strength, seconds, gap span
}

// span is a range from which a value is drawn.
type span struct{ least, most float64 }

// departures are planned: targets leave or are replaced.
var departures = []kind{
	{name: "release", share: span{0.2, 0.7}, strength: span{1, 3}, gap: span{0.5, 1.5}},
	{name: "scale_in", share: span{0.1, 0.3}},
	{name: "scale_in", hows: []string{"spot"}, share: span{0.1, 0.3}, strength: span{1.5, 3}},
	{name: "scale_in", hows: []string{"reclaim"}, strength: span{2, 3}, seconds: span{2, 5}},
}

// other planned work.
var planned = []kind{
	{name: "config_change", hows: []string{"", "route", "timeout"}},
	{name: "revoke"},
	{name: "roll_term", hows: []string{"", "busy"}, share: span{0.3, 1}, gap: span{0.8, 2}},
	{name: "scale_out", share: span{0.1, 0.3}, gap: span{1, 3}},
	{name: "add_nodes", share: span{0.3, 0.8}},
}

var faults = []kind{
	{name: "burst", strength: span{1.5, 3}, seconds: span{3, 7}},
	{name: "hot_tenant", strength: span{4, 14}, seconds: span{4, 9}},
	{name: "hot_key", share: span{0.2, 0.4}, seconds: span{4, 7}},
	{name: "retry_abuse", share: span{0.2, 0.4}, strength: span{2, 4}, seconds: span{4, 7}},
	{name: "give_up", share: span{0.1, 0.3}, seconds: span{4, 7}},
	{name: "srv_crash", hows: []string{"", "dark"}, share: span{0.1, 0.25}, seconds: span{2, 5}},
	{name: "srv_grey", hows: []string{"errors", "shed", "busy", "hang", "reset", "mute", "slow"}, share: span{0.1, 0.25}, seconds: span{4, 7}},
	{name: "srv_slow", share: span{0.1, 0.2}, strength: span{2, 5}, seconds: span{4, 7}},
	{name: "srv_cut", hows: []string{"", "one_way", "reset", "reborn"}, share: span{0.1, 0.3}, seconds: span{3, 7}},
	{name: "replace_with_reuse", hows: []string{"", "drain", "dark"}, share: span{0.1, 0.25}},
	{name: "answer_lost", share: span{0.3, 0.6}, strength: span{0.02, 0.06}, seconds: span{4, 6}},
	{name: "garble", hows: []string{"", "extra", "unframed", "early"}, share: span{0.3, 0.6}, strength: span{0.01, 0.03}, seconds: span{4, 6}},
	{name: "node_kill", hows: []string{"", "power"}, share: span{0.1, 0.2}, seconds: span{2, 4}},
	{name: "node_freeze", share: span{0.1, 0.3}, seconds: span{1, 4}},
	{name: "node_slow", share: span{0.1, 0.2}, strength: span{3, 6}, seconds: span{4, 7}},
	{name: "herd_kill", share: span{0.4, 0.8}, seconds: span{1, 3}},
	{name: "clock_step", share: span{0.2, 0.4}, strength: span{1000, 3000}, seconds: span{4, 7}},
	{name: "zone_cut", hows: []string{"", "reset"}, seconds: span{3, 6}},
	{name: "core_cut", hows: []string{"", "one_way", "refuse"}, seconds: span{3, 6}},
	{name: "node_cut", hows: []string{"", "all", "reset"}, share: span{0.1, 0.2}, seconds: span{3, 6}},
	{name: "lossy", strength: span{0.01, 0.05}, seconds: span{4, 7}},
	{name: "reset_conns", hows: []string{"", "silent"}, share: span{0.1, 1}, strength: span{0.3, 1}},
	{name: "platform_down", hows: []string{"silent", "busy", "reset"}, seconds: span{0.5, 6}},
	{name: "platform_down", hows: []string{"nodes silent", "nodes busy", "nodes many", "nodes reset"}, share: span{0.3, 0.7}, seconds: span{2, 9}},
	{name: "platform_slow", strength: span{30, 70}, seconds: span{3, 6}},
	{name: "platform_lost", hows: []string{"", "late"}, strength: span{0.2, 0.5}, seconds: span{3, 6}},
	{name: "platform_compact", hows: []string{"", "drain"}, strength: span{3, 6}, seconds: span{4, 8}},
	{name: "hup", share: span{0.2, 0.6}, gap: span{0.5, 2}},
}

const (
	// length is how long a day lasts in seconds; what goes wrong begins between
	// first and last.
	length, first, last = 36.0, 2.0, 27.0
	// leastFaults and mostFaults bound the number of faults of a day.
	leastFaults, mostFaults = 2, 4
)

// draw returns the day of a seed.
func draw(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 0))
	var b strings.Builder
	fmt.Fprintf(&b, "[[day]]\nname = \"grid-%d\"\nslot = \"trouble\"\nseed = %d\nlength_s = %.1f\n", seed, seed, length)
	b.WriteString("plan = [\n")
	for range 1 + r.IntN(2) {
		b.WriteString(pick(r, departures))
	}
	if r.IntN(2) == 0 {
		b.WriteString(pick(r, planned))
	}
	b.WriteString("]\nfaults = [\n")
	for range leastFaults + r.IntN(mostFaults-leastFaults+1) {
		b.WriteString(pick(r, faults))
	}
	b.WriteString("]\n")
	return b.String()
}

// pick draws one entry of a day.
func pick(r *rand.Rand, from []kind) string {
	k := from[r.IntN(len(from))]
	fields := []string{fmt.Sprintf("at = %.2f", span{first, last}.draw(r)), fmt.Sprintf("kind = %q", k.name)}
	if len(k.hows) > 0 {
		if how := k.hows[r.IntN(len(k.hows))]; how != "" {
			fields = append(fields, fmt.Sprintf("how = %q", how))
		}
	}
	for _, f := range []struct {
		name string
		span span
	}{{"share", k.share}, {"x", k.strength}, {"for_s", k.seconds}, {"gap_s", k.gap}} {
		if f.span != (span{}) {
			fields = append(fields, fmt.Sprintf("%s = %.2f", f.name, f.span.draw(r)))
		}
	}
	return " { " + strings.Join(fields, ", ") + " },\n"
}

func (s span) draw(r *rand.Rand) float64 { return s.least + r.Float64()*(s.most-s.least) }

package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"zinccove.example/zinccove/errs"
)

// ErrNoDecisions means that no line tells of a request that was placed or refused.
var ErrNoDecisions = eris.New("no line tells of a placed or refused request")

// Decisions sums up which requests were placed and refused, by second, route,
// customer and host: how many, how long they would have waited, how many of the
// refused were above their share; and how far expected times to the first event
// were off.
type Decisions struct {
	reader reader
	// groups holds a tally for each value of each grouping field.
	groups map[string]map[string]*tally
	// reasons counts refusals by status and reason.
	reasons map[string]int
	// expected holds placed requests without a first event, errors the distances
	// in milliseconds by the expected time.
	expected map[string]float64
	errors   map[int][]float64
}

// tally counts the requests of one group.
type tally struct {
	placed, refused, above int
	// waits are the expected waits in milliseconds at which requests were refused
	// for lack of room.
	waits []float64
}

// bySecond is the group of the second in which a decision fell; the other groups
// are fields of lines.
const bySecond = "second"

// groupings are the groups in the order in which they are printed.
var groupings = []string{bySecond, "route", "customer", "host"}

// NewDecisions returns an empty summary.
func NewDecisions() *Decisions {
	d := &Decisions{
		groups: make(map[string]map[string]*tally), reasons: make(map[string]int),
		expected: make(map[string]float64), errors: make(map[int][]float64),
	}
	for _, name := range groupings {
		d.groups[name] = make(map[string]*tally)
	}
	return d
}

// Read takes the lines of a log.
func (d *Decisions) Read(r io.Reader) error { return d.reader.read(r, d.take) }

// Messages of lines that tell of decisions and their results.
const (
	messagePlaced  = "request placed"
	messageRefused = "request refused"
	messageStream  = "stream answered"
)

// take counts a line.
func (d *Decisions) take(x *line) {
	switch x.message {
	case messagePlaced:
		if x.value("attempt") == "1" {
			d.expected[x.request] = x.number("predicted_ms")
			d.count(x, func(t *tally) { t.placed++ })
		}
	case messageRefused:
		d.reasons[x.value("status")+" "+x.value("reason")]++
		d.count(x, func(t *tally) { t.refuse(x) })
	case messageStream:
		d.compare(x)
	}
}

func (t *tally) refuse(x *line) {
	t.refused++
	if x.value("above_share") == "true" {
		t.above++
	}
	if x.value("wait_ms") != "" {
		t.waits = append(t.waits, x.number("wait_ms"))
	}
}

// count adds a line to its groups.
func (d *Decisions) count(x *line, add func(*tally)) {
	for _, name := range groupings {
		group, key := d.groups[name], x.value(name)
		switch name {
		case bySecond:
			key = x.at.Format(time.TimeOnly)
		case "host":
			key = x.host
		}
		if group[key] == nil {
			group[key] = new(tally)
		}
		add(group[key])
	}
}

// errorStep is the width of the rows of expected times in milliseconds.
const errorStep = 50

// compare notes how far the expected time of a stream was off.
func (d *Decisions) compare(x *line) {
	expected, ok := d.expected[x.request]
	if !ok {
		return
	}
	delete(d.expected, x.request)
	row := int(expected) / errorStep
	d.errors[row] = append(d.errors[row], x.number("first_event_ms")-expected)
}

// value is a field of a line, empty if it has none.
func (x *line) value(name string) string {
	for _, f := range x.fields {
		if f.name == name {
			return f.value
		}
	}
	return ""
}

// number is a field of a line as a number, 0 if it is none.
func (x *line) number(name string) float64 {
	n, err := strconv.ParseFloat(x.value(name), 64)
	if err != nil {
		return 0
	}
	return n
}

// Write prints the summary.
func (d *Decisions) Write(out io.Writer) error {
	if len(d.groups[bySecond]) == 0 {
		return errs.Wrap(ErrNoDecisions, "sum up decisions", "")
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "refused\tstatus and reason")
	for _, reason := range slices.Sorted(maps.Keys(d.reasons)) {
		fmt.Fprintf(w, "%d\t%s\n", d.reasons[reason], reason)
	}
	for _, name := range groupings {
		fmt.Fprintf(w, "\n%s\tplaced\trefused\tabove share\twait when refused: median, 90 %% (ms)\n", name)
		for _, key := range order(name, d.groups[name]) {
			t := d.groups[name][key]
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.0f, %.0f\n", key, t.placed, t.refused, t.above, quantile(t.waits, 0.5), quantile(t.waits, 0.9))
		}
	}
	fmt.Fprintf(w, "\nexpected (ms)\tstreams\tfirst event later than expected: 10 %%, median, 90 %% (ms)\n")
	for _, row := range slices.Sorted(maps.Keys(d.errors)) {
		e := d.errors[row]
		fmt.Fprintf(w, "%d to %d\t%d\t%.0f, %.0f, %.0f\n", row*errorStep, (row+1)*errorStep, len(e), quantile(e, 0.1), quantile(e, 0.5), quantile(e, 0.9))
	}
	return errs.Wrap(w.Flush(), "write decisions", "")
}

// order sorts seconds by time and other groups by the number of refusals.
func order(name string, group map[string]*tally) []string {
	keys := slices.Sorted(maps.Keys(group))
	if name != bySecond {
		slices.SortStableFunc(keys, func(a, b string) int { return cmp.Compare(group[b].refused, group[a].refused) })
	}
	return keys
}

// quantile returns the value below which a part of the values lies, 0 of none.
func quantile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(part*float64(len(sorted)-1))]
}

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

// ErrNoDecisions means that the logs record no request that was placed or refused.
var ErrNoDecisions = eris.New("no line tells of a placed or refused request")

// Decisions summarizes the requests that were placed and refused, grouped by second,
// route, customer and host: how many there were, how many of the refused requests
// were above the share of their customer, and the wait that was expected for refused
// requests. It also compares predicted with actual times to the first event.
type Decisions struct {
	reader reader
	// groups holds a tally for each value of each grouping.
	groups map[string]map[string]*tally
	// reasons counts refused requests by status and reason.
	reasons map[string]int
	// expected holds the predicted time to the first event, in milliseconds, of each
	// placed request whose first event is not recorded yet. deviations holds the actual minus the
	// predicted times in milliseconds by row, that is by predicted time in multiples
	// of rowWidth.
	expected   map[string]float64
	deviations map[int][]float64
}

// tally counts the requests of one group.
type tally struct {
	placed, refused, aboveShare int
	// waits are the expected waits, in milliseconds, of requests that were refused
	// for lack of capacity.
	waits []float64
}

// bySecond groups decisions by the second in which they were made. The other
// groupings are fields of log lines.
const bySecond = "second"

// groupings are the groupings in the order in which they are printed.
var groupings = []string{bySecond, "route", "customer", "host"}

// NewDecisions returns an empty summary.
func NewDecisions() *Decisions {
	d := &Decisions{
		groups: make(map[string]map[string]*tally), reasons: make(map[string]int),
		expected: make(map[string]float64), deviations: make(map[int][]float64),
	}
	for _, name := range groupings {
		d.groups[name] = make(map[string]*tally)
	}
	return d
}

// Read adds the lines of a log to the summary.
func (d *Decisions) Read(r io.Reader) error { return d.reader.read(r, d.add) }

// Messages of the log lines that record decisions and their results.
const (
	messagePlaced  = "request placed"
	messageRefused = "request refused"
	messageStream  = "stream answered"
)

// add adds a line to the summary. Only the first attempt of a placed request counts.
func (d *Decisions) add(x *line) {
	switch x.message {
	case messagePlaced:
		if x.value("attempt") == "1" {
			d.expected[x.request] = x.number("predicted_ms")
			d.count(x, func(t *tally) { t.placed++ })
		}
	case messageRefused:
		d.reasons[x.value("status")+" "+x.value("reason")]++
		d.count(x, func(t *tally) { t.addRefusal(x) })
	case messageStream:
		d.recordDeviation(x)
	}
}

func (t *tally) addRefusal(x *line) {
	t.refused++
	if x.value("above_share") == "true" {
		t.aboveShare++
	}
	if x.value("wait_ms") != "" {
		t.waits = append(t.waits, x.number("wait_ms"))
	}
}

// count calls update for the tally of each group that the line belongs to.
func (d *Decisions) count(x *line, update func(*tally)) {
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
		update(group[key])
	}
}

// rowWidth is the range of predicted times, in milliseconds, that one printed row covers.
const rowWidth = 50

// recordDeviation records the difference between the actual and the predicted time to
// the first event of a stream.
func (d *Decisions) recordDeviation(x *line) {
	expected, ok := d.expected[x.request]
	if !ok {
		return
	}
	delete(d.expected, x.request)
	row := int(expected) / rowWidth
	d.deviations[row] = append(d.deviations[row], x.number("first_event_ms")-expected)
}

// value returns the value of a field of the line, or "" if the line lacks it.
func (x *line) value(name string) string {
	for _, f := range x.fields {
		if f.name == name {
			return f.value
		}
	}
	return ""
}

// number returns the value of a field of the line as a number, or 0 if the line lacks
// it or it is not a number.
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
		for _, key := range sortedKeys(name, d.groups[name]) {
			t := d.groups[name][key]
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.0f, %.0f\n", key, t.placed, t.refused, t.aboveShare, quantile(t.waits, 0.5), quantile(t.waits, 0.9))
		}
	}
	fmt.Fprintf(w, "\nexpected (ms)\tstreams\tfirst event later than expected: 10 %%, median, 90 %% (ms)\n")
	for _, row := range slices.Sorted(maps.Keys(d.deviations)) {
		e := d.deviations[row]
		fmt.Fprintf(w, "%d to %d\t%d\t%.0f, %.0f, %.0f\n", row*rowWidth, (row+1)*rowWidth, len(e), quantile(e, 0.1), quantile(e, 0.5), quantile(e, 0.9))
	}
	return errs.Wrap(w.Flush(), "write decisions", "")
}

// sortedKeys returns the keys of a group: seconds by time, others by the number of
// refused requests in descending order and then by name.
func sortedKeys(name string, group map[string]*tally) []string {
	keys := slices.Sorted(maps.Keys(group))
	if name != bySecond {
		slices.SortStableFunc(keys, func(a, b string) int { return cmp.Compare(group[b].refused, group[a].refused) })
	}
	return keys
}

// quantile returns the q-quantile of the values, rounded down to one of them, or 0 if
// there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}

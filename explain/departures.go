package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"zinccove.example/zinccove/errs"
	"zinccove.example/zinccove/revision"
)

// ErrNoDepartures means that no line tells of a target that left.
var ErrNoDepartures = eris.New("no line tells of a target that left")

// Departures sums up how late routers knew that targets left, and which requests
// were placed there after the drain. The time from which both are counted is that of
// the first line of any router about it, so lateness that all routers share does
// not show; unheard_ms of lines "store lost" tells of that.
type Departures struct {
	drain  time.Duration
	reader reader
	// lines are those that matter; they are looked at in the order of time.
	lines []line
	// targets holds what is known of each target that has left so far.
	targets map[string]*departure
	// placed holds when and where requests were placed, by target.
	placed map[string][]placement
}

// departure is what routers knew of one target that left.
type departure struct {
	first time.Time
	// version is the newest at which the store told that the target left.
	revision revision.Revision
	// said is when the run started that said itself that it leaves; empty if it did not.
	// Only an entry of another run tells that the target is back then.
	said string
	// hosts holds when each router took the target as leaving, and how it knew.
	hosts map[string]knowledge
}

type knowledge struct {
	at  time.Time
	way string
}

type placement struct {
	at            time.Time
	host, request string
}

// NewDepartures returns an empty summary. Drain is the time after which a target
// that leaves must get nothing new.
func NewDepartures(drain time.Duration) *Departures {
	return &Departures{drain: drain, targets: make(map[string]*departure), placed: make(map[string][]placement)}
}

// Read takes the lines of a log.
func (d *Departures) Read(r io.Reader) error {
	return d.reader.read(r, func(x *line) {
		if x.message == messagePlaced || strings.HasPrefix(x.message, "target") {
			d.lines = append(d.lines, *x)
		}
	})
}

// The ways in which routers know.
const (
	wayStore   = "store"
	wayPeer    = "another router"
	wayExpired = "entry did not come back"
	wayAnswer  = "the target's answer"
)

func (d *Departures) take(x *line) {
	id := x.value("target")
	switch x.message {
	case messagePlaced:
		d.placed[id] = append(d.placed[id], placement{at: x.at, host: x.host, request: x.request})
	case "target entry":
		if x.value("draining") == "true" {
			d.know(id, x, wayStore)
			return
		}
		if t := d.targets[id]; t != nil && t.backBy(x) {
			delete(d.targets, id)
		}
	case "target entry removed":
		if x.value("gone") == "true" {
			d.know(id, x, wayStore)
			return
		}
		d.leave(id, x)
	case "target says that it leaves":
		d.know(id, x, wayAnswer)
		d.targets[id].said = x.value("started")
	case "target is leaving, as another router says", "target says that it leaves, as another router heard":
		d.know(id, x, wayPeer)
	case "targets gone, their entries did not come back", "targets gone, their entries are missing":
		for _, id := range strings.FieldsFunc(x.value("targets"), func(c rune) bool { return strings.ContainsRune(`[]",`, c) }) {
			d.know(id, x, wayExpired)
		}
	}
}

// backBy reports whether an entry that does not say that the target leaves tells that it is
// back.
func (t *departure) backBy(entry *line) bool {
	if t.said != "" {
		return entry.value("started") != t.said
	}
	return t.revision.Before(entry.revision())
}

// revision is that of the store which the line tells.
func (x *line) revision() revision.Revision {
	return revision.Revision{Era: uint64(x.number("era")), Count: uint64(x.number("version"))}
}

// leave notes a line that tells that a target left, or may have.
func (d *Departures) leave(id string, x *line) *departure {
	t := d.targets[id]
	if t == nil {
		t = &departure{first: x.at, hosts: make(map[string]knowledge)}
		d.targets[id] = t
	}
	t.revision = revision.Later(t.revision, x.revision())
	return t
}

// know notes that a router takes a target as leaving.
func (d *Departures) know(id string, x *line, way string) {
	t := d.leave(id, x)
	if _, ok := t.hosts[x.host]; !ok {
		t.hosts[x.host] = knowledge{at: x.at, way: way}
	}
}

// latest returns the router that knew last, and what it knew.
func (t *departure) latest() (string, knowledge) {
	var (
		host string
		last knowledge
	)
	for _, name := range slices.Sorted(maps.Keys(t.hosts)) {
		if k := t.hosts[name]; k.at.After(last.at) {
			host, last = name, k
		}
	}
	return host, last
}

// late returns the requests that were placed at a target after the drain.
func (d *Departures) late(id string) []placement {
	end := d.targets[id].first.Add(d.drain)
	return slices.DeleteFunc(slices.Clone(d.placed[id]), func(p placement) bool { return !p.at.After(end) })
}

// Write prints the targets that left, the one known of last first.
func (d *Departures) Write(out io.Writer) error {
	byTime(d.lines)
	for i := range d.lines {
		d.take(&d.lines[i])
	}
	d.lines = nil
	if len(d.targets) == 0 {
		return errs.Wrap(ErrNoDepartures, "sum up departures", "")
	}
	lateness := func(id string) time.Duration {
		_, last := d.targets[id].latest()
		return last.at.Sub(d.targets[id].first)
	}
	ids := slices.Sorted(maps.Keys(d.targets))
	slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(lateness(b), lateness(a)) })
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "target\tfirst known\tlast router after (s)\trouter\tway\tplaced later than %s\tfirst of them\n", d.drain)
	for _, id := range ids {
		host, last := d.targets[id].latest()
		late := d.late(id)
		request := ""
		if len(late) > 0 {
			request = late[0].request + " by " + late[0].host
		}
		fmt.Fprintf(w, "%s\t%s\t%.2f\t%s\t%s\t%d\t%s\n", id, d.targets[id].first.Format(time.TimeOnly), lateness(id).Seconds(), host, last.way, len(late), request)
	}
	return errs.Wrap(w.Flush(), "write departures", "")
}

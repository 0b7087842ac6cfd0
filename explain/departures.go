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

// ErrNoDepartures means that the logs record no target that left.
var ErrNoDepartures = eris.New("no line tells of a target that left")

// Departures summarizes how late routers detected that targets drain or were removed,
// and which requests were placed at such targets after the drain time. Both are measured
// from the first log line of any router about the departure. A delay that all routers
// share is therefore not visible here; the field unheard_ms of lines "store lost"
// shows it.
type Departures struct {
	drain  time.Duration
	reader reader
	// lines are the relevant lines; Write processes them in the order of time.
	lines []line
	// targets holds the departures by target, without those of targets that returned.
	targets map[string]*departure
	// placed holds the placements of requests by target.
	placed map[string][]placement
}

// departure records when routers detected that one target left.
type departure struct {
	first time.Time
	// revision is the newest revision of the store at which the target was draining or
	// removed.
	revision revision.Revision
	// announcedStart is the start time of the incarnation of the target that announced in
	// a response that it is draining; it is empty if none did. If it is set, only an entry
	// of another incarnation shows that the target returned.
	announcedStart string
	// detections holds the first detection of the departure by each router.
	detections map[string]detection
}

type detection struct {
	at     time.Time
	source string
}

type placement struct {
	at            time.Time
	host, request string
}

// NewDepartures returns an empty summary. Drain is the time after the start of a
// departure from which a target must receive no new requests.
func NewDepartures(drain time.Duration) *Departures {
	return &Departures{drain: drain, targets: make(map[string]*departure), placed: make(map[string][]placement)}
}

// Read adds the lines of a log to the summary.
func (d *Departures) Read(r io.Reader) error {
	return d.reader.read(r, func(x *line) {
		if x.message == messagePlaced || strings.HasPrefix(x.message, "target") {
			d.lines = append(d.lines, *x)
		}
	})
}

// The sources from which routers detect a departure, as Write prints them.
const (
	sourceStore    = "store"
	sourcePeer     = "another router"
	sourceExpired  = "entry did not come back"
	sourceResponse = "the target's answer"
)

func (d *Departures) add(x *line) {
	id := x.value("target")
	switch x.message {
	case messagePlaced:
		d.placed[id] = append(d.placed[id], placement{at: x.at, host: x.host, request: x.request})
	case "target entry":
		if x.value("draining") == "true" {
			d.recordDetection(id, x, sourceStore)
			return
		}
		if t := d.targets[id]; t != nil && t.returnedBy(x) {
			delete(d.targets, id)
		}
	case "target entry removed":
		if x.value("gone") == "true" {
			d.recordDetection(id, x, sourceStore)
			return
		}
		d.recordDeparture(id, x)
	case "target says that it leaves":
		d.recordDetection(id, x, sourceResponse)
		d.targets[id].announcedStart = x.value("started")
	case "target is leaving, as another router says", "target says that it leaves, as another router heard":
		d.recordDetection(id, x, sourcePeer)
	case "targets gone, their entries did not come back", "targets gone, their entries are missing":
		for _, id := range strings.FieldsFunc(x.value("targets"), func(c rune) bool { return strings.ContainsRune(`[]",`, c) }) {
			d.recordDetection(id, x, sourceExpired)
		}
	}
}

// returnedBy reports whether an entry that is not draining shows that the target
// returned.
func (t *departure) returnedBy(entry *line) bool {
	if t.announcedStart != "" {
		return entry.value("started") != t.announcedStart
	}
	return t.revision.Before(entry.revision())
}

// revision returns the revision of the store that the line records.
func (x *line) revision() revision.Revision {
	return revision.Revision{Era: uint64(x.number("era")), Count: uint64(x.number("version"))}
}

// recordDeparture records a line according to which a target left or may have left, and
// returns its departure.
func (d *Departures) recordDeparture(id string, x *line) *departure {
	t := d.targets[id]
	if t == nil {
		t = &departure{first: x.at, detections: make(map[string]detection)}
		d.targets[id] = t
	}
	t.revision = revision.Later(t.revision, x.revision())
	return t
}

// recordDetection records that a router considers a target draining or removed.
func (d *Departures) recordDetection(id string, x *line, source string) {
	t := d.recordDeparture(id, x)
	if _, ok := t.detections[x.host]; !ok {
		t.detections[x.host] = detection{at: x.at, source: source}
	}
}

// lastDetection returns the router that detected the departure last, and its detection.
func (t *departure) lastDetection() (string, detection) {
	var (
		host string
		last detection
	)
	for _, name := range slices.Sorted(maps.Keys(t.detections)) {
		if det := t.detections[name]; det.at.After(last.at) {
			host, last = name, det
		}
	}
	return host, last
}

// placedLate returns the requests that were placed at a target after the drain time.
func (d *Departures) placedLate(id string) []placement {
	end := d.targets[id].first.Add(d.drain)
	return slices.DeleteFunc(slices.Clone(d.placed[id]), func(p placement) bool { return !p.at.After(end) })
}

// Write prints the targets that left, sorted by the delay of the last router that
// detected it, longest first.
func (d *Departures) Write(out io.Writer) error {
	sortByTime(d.lines)
	for i := range d.lines {
		d.add(&d.lines[i])
	}
	d.lines = nil
	if len(d.targets) == 0 {
		return errs.Wrap(ErrNoDepartures, "sum up departures", "")
	}
	lateness := func(id string) time.Duration {
		_, last := d.targets[id].lastDetection()
		return last.at.Sub(d.targets[id].first)
	}
	ids := slices.Sorted(maps.Keys(d.targets))
	slices.SortStableFunc(ids, func(a, b string) int { return cmp.Compare(lateness(b), lateness(a)) })
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "target\tfirst known\tlast router after (s)\trouter\tway\tplaced later than %s\tfirst of them\n", d.drain)
	for _, id := range ids {
		host, last := d.targets[id].lastDetection()
		late := d.placedLate(id)
		request := ""
		if len(late) > 0 {
			request = late[0].request + " by " + late[0].host
		}
		fmt.Fprintf(w, "%s\t%s\t%.2f\t%s\t%s\t%d\t%s\n", id, d.targets[id].first.Format(time.TimeOnly), lateness(id).Seconds(), host, last.source, len(late), request)
	}
	return errs.Wrap(w.Flush(), "write departures", "")
}

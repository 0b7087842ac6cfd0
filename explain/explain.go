// Package explain tells from the logs of routers the life of one request, and why
// requests were refused.
//
// A Life puts the lines of the request in order over all hosts. Before them stands
// what the routers that handled it believed at the time: the last line before the
// request about the configuration, about the targets it was sent to, and about
// what was lost or cut off. Lines of that kind that fall into the life of the
// request stand among its own. Where lines of the request tell what it asks for, what
// other tries of that met stands before it.
//
// # Usage
//
//	l := explain.New("9c41d07be2a35f68")
//	err := l.Read(file) // any number of logs, in any order
//	err = l.Write(os.Stdout) // ErrNotFound if no line names the request
//
//	d := explain.NewDecisions() // who was placed and refused, see its comment
//	err = d.Read(file)
//	err = d.Write(os.Stdout)
//
//	e := explain.NewDepartures(2 * time.Second) // who knew late of targets that left
//
// # Limits
//
// Lines are ordered by the clocks of the hosts, which may differ. Lines that
// are not JSON are passed over; text before the JSON of a line is ignored.
package explain

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fastjson"

	"zinccove.example/zinccove/errs"
)

// ErrNotFound means that no line names the request.
var ErrNotFound = eris.New("no line names the request")

// field is one value of a line.
type field struct{ name, value string }

// line is one line of a log.
type line struct {
	at      time.Time
	host    string
	message string
	request string
	// subject is what a line without a request is about.
	subject string
	// fingerprint names what the request asks for, in lines that tell it.
	fingerprint string
	fields      []field
}

// Life collects the lines of one request.
type Life struct {
	request string
	own     []line
	state   []line
	// tries are lines of other requests that tell a fingerprint.
	tries  []line
	reader reader
}

// New returns an empty life of a request.
func New(request string) *Life { return &Life{request: request} }

const (
	// maxLine is the longest line that is read in bytes.
	maxLine = 1 << 20
	// maxState bounds the lines without a request that are kept.
	maxState = 200_000
)

// Read takes the lines of a log.
func (l *Life) Read(r io.Reader) error { return l.reader.read(r, l.take) }

// reader reads the lines that routers wrote.
type reader struct{ parser fastjson.Parser }

// read hands the lines of a log to take. Lines that no router wrote are passed
// over.
func (d *reader) read(r io.Reader, take func(*line)) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		start := bytes.IndexByte(sc.Bytes(), '{')
		if start < 0 {
			continue
		}
		if x, err := d.parse(sc.Bytes()[start:]); err == nil {
			take(x)
		}
	}
	return errs.Wrap(sc.Err(), "read log", "")
}

// parse reads one line; an error means that no router wrote it.
func (d *reader) parse(text []byte) (*line, error) {
	v, err := d.parser.ParseBytes(text)
	if err != nil {
		return nil, err
	}
	o, err := v.Object()
	if err != nil {
		return nil, err
	}
	x := new(line)
	o.Visit(func(key []byte, v *fastjson.Value) { x.set(string(key), v) })
	return x, nil
}

// subjects are the fields that say what a line without a request is about.
var subjects = []string{"target", "table", "peer", fieldFingerprint}

// fieldFingerprint is the field that names what a request asks for.
const fieldFingerprint = "fingerprint"

// take keeps a line if it may matter.
func (l *Life) take(x *line) {
	switch {
	case x.request == l.request:
		l.own = append(l.own, *x)
	case x.request == "" && len(l.state) < maxState:
		l.state = append(l.state, *x)
	case x.fingerprint != "" && len(l.tries) < maxState:
		l.tries = append(l.tries, *x)
	}
}

// set takes one value of a line.
func (x *line) set(name string, v *fastjson.Value) {
	value := v.String()
	if v.Type() == fastjson.TypeString {
		value = string(v.GetStringBytes())
	}
	switch name {
	case "time":
		if at, err := time.Parse(time.RFC3339Nano, value); err == nil {
			x.at = at
		}
	case "host":
		x.host = value
	case "message":
		x.message = value
	case "request":
		x.request = value
	case "level":
	default:
		if name == fieldFingerprint {
			x.fingerprint = value
		}
		if slices.Contains(subjects, name) {
			x.subject = value
		}
		x.fields = append(x.fields, field{name, value})
	}
}

// Write prints the life of the request.
func (l *Life) Write(out io.Writer) error {
	if len(l.own) == 0 {
		return errs.Wrap(ErrNotFound, "explain request "+l.request, "")
	}
	byTime(l.own)
	byTime(l.state)
	before, during := l.context()
	fmt.Fprintln(out, "what the routers knew before:")
	for _, x := range before {
		x.write(out, l.own[0].at)
	}
	if tries := l.sameContent(); len(tries) > 0 {
		fmt.Fprintln(out, "other tries of what it asks for:")
		for _, x := range tries {
			x.write(out, l.own[0].at)
		}
	}
	fmt.Fprintln(out, "request", l.request+":")
	life := slices.Concat(l.own, during)
	byTime(life)
	for _, x := range life {
		x.write(out, l.own[0].at)
	}
	return nil
}

func byTime(lines []line) {
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
}

// about names the host and matter that a line without a request is about. Only
// the latest line on a matter counts: losing and regaining the same thing, or
// writing and removing a target's entry, are one matter.
func (x *line) about() string {
	matter := x.message
	for _, word := range []string{" lost", " regained"} {
		matter = strings.TrimSuffix(matter, word)
	}
	for _, word := range []string{"target entry removed", "target entry"} {
		if matter == word {
			matter = "target"
		}
	}
	return x.host + "/" + matter + "/" + x.subject
}

// sameContent returns what other requests with the fingerprint of this one met.
func (l *Life) sameContent() []line {
	own := l.fingerprints()
	tries := slices.DeleteFunc(slices.Clone(l.tries), func(x line) bool { return !own[x.fingerprint] })
	byTime(tries)
	for i := range tries {
		tries[i].fields = append([]field{{"request", tries[i].request}}, tries[i].fields...)
	}
	return tries
}

func (l *Life) fingerprints() map[string]bool {
	all := make(map[string]bool)
	for _, x := range l.own {
		if x.fingerprint != "" {
			all[x.fingerprint] = true
		}
	}
	return all
}

// context returns the last line on each matter before the request, and all
// lines during it, of the hosts that handled it.
func (l *Life) context() (before, during []line) {
	hosts, targets := make(map[string]bool), make(map[string]bool)
	for _, x := range l.own {
		hosts[x.host] = true
		for _, f := range x.fields {
			if f.name == "target" {
				targets[f.value] = true
			}
		}
	}
	asked := l.fingerprints()
	last := make(map[string]line)
	for _, x := range l.state {
		ofTarget := strings.HasPrefix(x.message, "target entry")
		ofContent := x.fingerprint != "" && !asked[x.fingerprint]
		if !hosts[x.host] || ofTarget && !targets[x.subject] || ofContent {
			continue
		}
		switch {
		case x.at.Before(l.own[0].at):
			last[x.about()] = x
		case !x.at.After(l.own[len(l.own)-1].at):
			during = append(during, x)
		}
	}
	for _, x := range last {
		before = append(before, x)
	}
	slices.SortFunc(before, func(a, b line) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return strings.Compare(a.about(), b.about())
	})
	return before, during
}

// write prints a line with its time relative to the first line of the request.
func (x *line) write(out io.Writer, start time.Time) {
	fmt.Fprintf(out, "  %+9.3fs %s %s", x.at.Sub(start).Seconds(), x.host, x.message)
	for _, f := range x.fields {
		fmt.Fprintf(out, " %s=%s", f.name, f.value)
	}
	fmt.Fprintln(out)
}

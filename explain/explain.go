// Package explain reconstructs from the logs of routers what happened to one request,
// why requests were refused, and how late routers detected that targets left.
//
// A Timeline prints the lines of the request from all hosts in order. They are
// preceded by the state of the routers that handled it: the last line before the
// request about the configuration, about the targets that it was sent to, and about
// what they had lost or were cut off from, such as the store. Such lines that were
// written while the request was handled are printed among its own. If lines of the
// request contain a fingerprint of its content, the lines of other requests with the
// same fingerprint, or with the part of the prompt that it was refused for, are printed before it.
//
// # Usage
//
//	t := explain.NewTimeline("9c41d07be2a35f68")
//	err := t.Read(file) // any number of logs, in any order
//	err = t.Write(os.Stdout) // ErrNotFound if no line names the request
//
//	d := explain.NewDecisions() // requests that were placed and refused
//	err = d.Read(file)
//	err = d.Write(os.Stdout)
//
//	e := explain.NewDepartures(2 * time.Second) // routers that detected late that targets left
//
// # Limits
//
// Lines are ordered by the clocks of the hosts, which may differ. Lines without a JSON
// object are skipped; text before the JSON object of a line is ignored.
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

// ErrNotFound means that no log line contains the id of the request.
var ErrNotFound = eris.New("no line names the request")

// field is one field of a log line.
type field struct{ name, value string }

// line is one line of a router's log.
type line struct {
	at      time.Time
	host    string
	message string
	request string
	// subject is the target, table, peer or fingerprint that a line without a request
	// concerns.
	subject string
	// fingerprint identifies the content of a request; it is empty in lines without it.
	fingerprint string
	// part is the part of the prompt because of which a request was refused, parts are those that
	// its prompt shares with others.
	part   string
	parts  []string
	fields []field
}

// Timeline collects the lines of one request and their context.
type Timeline struct {
	request string
	own     []line
	state   []line
	// otherRequests are lines of other requests that contain a fingerprint.
	otherRequests []line
	reader        reader
}

// NewTimeline returns an empty timeline of the request with the given id.
func NewTimeline(request string) *Timeline { return &Timeline{request: request} }

const (
	// maxLine is the maximum length of a line in bytes.
	maxLine = 1 << 20
	// maxRetained bounds the lines without a request that are retained, and separately
	// those of other requests.
	maxRetained = 200_000
)

// Read adds the lines of a log to the timeline.
func (t *Timeline) Read(r io.Reader) error { return t.reader.read(r, t.add) }

// reader parses the log lines of routers.
type reader struct{ parser fastjson.Parser }

// read calls handle for each line of a log. Lines without a valid JSON object are
// skipped, as they were not written by a router.
func (rd *reader) read(r io.Reader, handle func(*line)) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		start := bytes.IndexByte(sc.Bytes(), '{')
		if start < 0 {
			continue
		}
		if x, err := rd.parse(sc.Bytes()[start:]); err == nil {
			handle(x)
		}
	}
	return errs.Wrap(sc.Err(), "read log", "")
}

// parse parses one line. It returns an error if the line is not a JSON object.
func (rd *reader) parse(text []byte) (*line, error) {
	v, err := rd.parser.ParseBytes(text)
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

// subjects are the fields that identify the subject of a line without a request.
var subjects = []string{"target", "table", "peer", fieldFingerprint}

// fieldFingerprint is the field with the fingerprint of a request's content.
const fieldFingerprint = "fingerprint"

// add retains a line if it may be relevant to the request.
func (t *Timeline) add(x *line) {
	switch {
	case x.request == t.request:
		t.own = append(t.own, *x)
	case x.request == "" && len(t.state) < maxRetained:
		t.state = append(t.state, *x)
	case x.fingerprint != "" && len(t.otherRequests) < maxRetained:
		t.otherRequests = append(t.otherRequests, *x)
	}
}

// set stores one field of a line.
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
		x.setContent(name, value, v)
		if slices.Contains(subjects, name) {
			x.subject = value
		}
		x.fields = append(x.fields, field{name, value})
	}
}

// setContent stores a field that tells what the request asks for.
func (x *line) setContent(name, value string, v *fastjson.Value) {
	switch name {
	case fieldFingerprint:
		x.fingerprint = value
	case "part":
		x.part = value
	case "parts":
		for _, id := range v.GetArray() {
			x.parts = append(x.parts, string(id.GetStringBytes()))
		}
	}
}

// Write prints the timeline of the request.
func (t *Timeline) Write(out io.Writer) error {
	if len(t.own) == 0 {
		return errs.Wrap(ErrNotFound, "explain request "+t.request, "")
	}
	sortByTime(t.own)
	sortByTime(t.state)
	before, during := t.context()
	fmt.Fprintln(out, "what the routers knew before:")
	for _, x := range before {
		x.write(out, t.own[0].at)
	}
	if others := t.sameContent(); len(others) > 0 {
		fmt.Fprintln(out, "other tries of what it asks for:")
		for _, x := range others {
			x.write(out, t.own[0].at)
		}
	}
	fmt.Fprintln(out, "request", t.request+":")
	lines := slices.Concat(t.own, during)
	sortByTime(lines)
	for _, x := range lines {
		x.write(out, t.own[0].at)
	}
	return nil
}

func sortByTime(lines []line) {
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
}

// stateKey identifies the piece of a host's state that a line without a request
// describes, by host, topic and subject. Only the latest line of each key counts.
// Losing and regaining the same thing, such as the store, share a topic, and so do writing and
// removing the entry of a target.
func (x *line) stateKey() string {
	topic := x.message
	for _, word := range []string{" lost", " regained"} {
		topic = strings.TrimSuffix(topic, word)
	}
	for _, word := range []string{"target entry removed", "target entry"} {
		if topic == word {
			topic = "target"
		}
	}
	return x.host + "/" + topic + "/" + x.subject
}

// sameContent returns the lines of other requests that have a fingerprint of this request, or the part
// because of which it was refused, in the order of time and with the id of their request.
func (t *Timeline) sameContent() []line {
	own := t.fingerprints()
	others := slices.DeleteFunc(slices.Clone(t.otherRequests), func(x line) bool {
		return !own[x.fingerprint] && !slices.ContainsFunc(t.own, func(o line) bool { return o.part != "" && slices.Contains(x.parts, o.part) })
	})
	sortByTime(others)
	for i := range others {
		others[i].fields = append([]field{{"request", others[i].request}}, others[i].fields...)
	}
	return others
}

func (t *Timeline) fingerprints() map[string]bool {
	all := make(map[string]bool)
	for _, x := range t.own {
		if x.fingerprint != "" {
			all[x.fingerprint] = true
		}
	}
	return all
}

// context returns the relevant lines without a request of the hosts that handled the
// request: the last line of each state key before the request, and all lines during it.
func (t *Timeline) context() (before, during []line) {
	hosts, targets := make(map[string]bool), make(map[string]bool)
	for _, x := range t.own {
		hosts[x.host] = true
		for _, f := range x.fields {
			if f.name == "target" {
				targets[f.value] = true
			}
		}
	}
	own := t.fingerprints()
	last := make(map[string]line)
	for _, x := range t.state {
		aboutTarget := strings.HasPrefix(x.message, "target entry")
		otherContent := x.fingerprint != "" && !own[x.fingerprint]
		if !hosts[x.host] || aboutTarget && !targets[x.subject] || otherContent {
			continue
		}
		switch {
		case x.at.Before(t.own[0].at):
			last[x.stateKey()] = x
		case !x.at.After(t.own[len(t.own)-1].at):
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
		return strings.Compare(a.stateKey(), b.stateKey())
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

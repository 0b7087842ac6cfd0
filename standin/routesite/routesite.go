// Package routesite is a fleet that serves the routes of a store: routers, targets
// of a model and of a plain service, and callers that check what they get.
//
// # Usage
//
//	s, err := routesite.New(binDir)
//	defer s.Close()
//	_, err = s.AddWorker("m1", routesite.Model, "dc1")
//	router, err := s.StartRouter("r1", "dc1")
//	err = s.Configure(routesite.Config(1, "key"))
//	a := s.Call(router.Caller, "POST", "/draft/x", "key")
//	ok := a.Whole("/draft/x")
package routesite

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"zinccove.example/standin/fleet"
	"zinccove.example/standin/worker"
	"zinccove.example/zinccove/platform/wire"
)

// The services.
const (
	Model = "model"
	Plain = "plain"
)

// Paths has one path for each route of Config: a stream that may not be
// repeated, one that may be resumed, a call that may not be repeated and one
// that may.
var Paths = []string{"/draft/a", "/gloss/a?x=1", "/record/a%20b", "/lookup/"}

// Once reports whether a request of a path runs at most once.
func Once(path string) bool {
	return strings.HasPrefix(path, "/record/") || strings.HasPrefix(path, "/draft/")
}

// Streaming reports whether requests of a path get streams.
func Streaming(path string) bool {
	return strings.HasPrefix(path, "/draft/") || strings.HasPrefix(path, "/gloss/")
}

const (
	host = "archive.example"
	// Customer is the customer of all keys.
	Customer = "c"
	slots    = "16"
	events   = 20
	// deadline is how long callers wait; the connection is given up later.
	deadline = 4 * time.Second
	patience = 8 * time.Second
)

// Config is a configuration as operators write it.
func Config(version int, keys ...string) []byte {
	route := func(name, kind, service string, resumable bool) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":"/%s/","kind":%q,"timeoutMs":5000,"targetLatencyMs":800,`+
			`"gap_aim_ms":400,"priority":1,"service":%q,"maxAttempts":2,"resumable":%t}`, name, host, name, kind, service, resumable)
	}
	routes := []string{
		route("draft", "streaming", Model, false), route("gloss", "streaming", Model, true),
		route("record", "non_idempotent", Plain, false), route("lookup", "idempotent", Plain, false),
	}
	quoted := make([]string, len(keys))
	for i, key := range keys {
		quoted[i] = fmt.Sprintf("%q", key)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":%q,"healthPath":"/health","maxConns":300,"engine":{"slots":16,"kvTokens":100000,"kvBytes":1000,"linkMbps":8000000,"backups":true}},`+
		`{"name":%q,"healthPath":"/health","maxConns":100}],"limits":{"maxBodyBytes":1000000,"tokens_per_s":100000},"tenants":[{"name":%q,"apiKeys":[%s]}]}`,
		version, strings.Join(routes, ","), Model, Plain, Customer, strings.Join(quoted, ","))
}

// WithLimits returns a configuration with further limits, given as fields in JSON.
func WithLimits(config []byte, limits string) []byte {
	const begin = `"limits":{`
	return bytes.Replace(config, []byte(begin), []byte(begin+limits+","), 1)
}

// Site is a running fleet.
type Site struct {
	*fleet.Fleet
	Workers []*fleet.Target
	// Name differs between sites, as a target of one may listen at a port that one of another had
	// before.
	Name string

	sent atomic.Int64
}

// nameLength makes equal names unlikely among the sites of one machine.
const nameLength = 8

// New starts the platform.
func New(bin string) (*Site, error) {
	f, err := fleet.New(bin)
	if err != nil {
		return nil, err
	}
	f.Settings = map[string]string{
		"routes": "source = store", "limits": "memory-mb = 200\nstop-timeout = 6s", "fleet": "heartbeat-interval = 100ms",
	}
	return &Site{Fleet: f, Name: strings.ToLower(rand.Text()[:nameLength])}, f.StartPlatform()
}

// AddWorker starts a target of a service; more are further flags.
func (s *Site) AddWorker(id, service, dataCentre string, more ...string) (*fleet.Target, error) {
	args := append([]string{"--slots", slots}, more...)
	if service == Model {
		args = append(args, "--events", fmt.Sprint(events))
	}
	w, err := s.StartWorker(id, service, dataCentre, args...)
	if err == nil {
		s.Workers = append(s.Workers, w)
	}
	return w, err
}

// Configure writes a configuration into the store.
func (s *Site) Configure(body []byte) error {
	return s.PutRow(wire.TableOperator, wire.ConfigKey, body)
}

// Runs returns how often the workers that run now began each request.
func (s *Site) Runs() (map[string]int, error) {
	counts := make(map[string]int)
	for _, w := range s.Workers {
		if w.Ended() {
			continue
		}
		var runs map[string]worker.Run
		if err := fleet.GetJSON(w.Address, "/runs", &runs); err != nil {
			return nil, err
		}
		for id, r := range runs {
			counts[id] += r.Began
		}
	}
	return counts, nil
}

// Answer is what a caller got.
type Answer struct {
	ID     string
	Path   string
	Router netip.AddrPort
	Sent   time.Time
	Status int
	Body   string
	Header http.Header
	// Err is a failure of the connection, also in the middle of an answer.
	Err error
}

// Call sends a request over a connection of its own. No two have the same body.
func (s *Site) Call(to netip.AddrPort, method, path, key string) *Answer {
	return s.CallWithParts(to, method, path, key, "aa")
}

// CallWithParts is Call with the given shared parts of the prompt.
func (s *Site) CallWithParts(to netip.AddrPort, method, path, key string, parts ...string) *Answer {
	id := s.nextID()
	return s.send(to, id, method, path, key, "body of "+id, parts...)
}

// Repeat sends a request with a given body, as a caller does that sends it again.
func (s *Site) Repeat(to netip.AddrPort, method, path, key, body string) *Answer {
	return s.send(to, s.nextID(), method, path, key, body, "aa")
}

func (s *Site) nextID() string { return fmt.Sprintf("q%s%d", s.Name, s.sent.Add(1)) }

func (s *Site) send(to netip.AddrPort, id, method, path, key, body string, parts ...string) *Answer {
	a := &Answer{ID: id, Path: path, Router: to, Sent: time.Now()}
	c, err := net.DialTimeout("tcp", to.String(), time.Second)
	if err != nil {
		a.Err = err
		return a
	}
	defer c.Close() //nolint:errcheck // the answer is known
	a.Err = a.exchange(c, method, path, key, body, parts)
	return a
}

func (a *Answer) exchange(c net.Conn, method, path, key, body string, parts []string) error {
	if err := c.SetDeadline(time.Now().Add(patience)); err != nil {
		return err
	}
	req, err := newRequest(a.ID, method, path, key, body)
	if err != nil {
		return err
	}
	req.Header.Set("Prompt-Prefix", strings.Join(append(parts, a.ID), ":100,")+":100")
	if err := req.Write(c); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), req)
	if err != nil {
		return err
	}
	defer resp.Body.Close() //nolint:errcheck // read to its end
	text, err := io.ReadAll(resp.Body)
	a.Status, a.Header, a.Body = resp.StatusCode, resp.Header, string(text)
	return err
}

// newRequest returns a request as callers send it.
func newRequest(id, method, path, key, body string) (*http.Request, error) {
	req, err := http.NewRequest(method, "http://"+host+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Deadline", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Token-Usage", "900,60")
	return req, nil
}

// Complete reports whether the answer looks complete to its caller.
func (a *Answer) Complete() bool { return a.Err == nil && a.Status == http.StatusOK }

// Whole reports whether the answer is the whole one of its own request.
func (a *Answer) Whole(path string) bool {
	if !a.Complete() {
		return false
	}
	if !Streaming(path) {
		return strings.HasSuffix(a.Body, path+" "+a.ID)
	}
	first, _, _ := strings.Cut(a.Body, "\n\n")
	_, version, _ := strings.Cut(first, a.ID+" 1 ")
	var want strings.Builder
	for n := range events {
		want.WriteString(worker.Event(a.ID, version, n+1))
	}
	return a.Body == want.String()
}

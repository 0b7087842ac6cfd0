// Package store is a stand-in for the platform: a transactional table, an
// object store, a rate-limited weight store and a lagging list of hosts, in
// memory, over HTTP.
//
// # Usage
//
//	s := store.New(store.Options{HostLag: 2 * time.Second})
//	err := fasthttp.ListenAndServe("127.0.0.1:0", s.Handle)
//
// # Faults
//
// The steps "get", "list", "commit", "object", "hosts" and "weight" can be
// switched; see package fault. GET /counts tells how often each was asked.
package store

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"zinccove.example/standin/fault"
	"zinccove.example/zinccove/platform"
)

// Options configure the stand-in.
type Options struct {
	// HostLag is how much later the list of hosts shows a change.
	HostLag time.Duration
	// WeightRate is the number of requests a second the weight store takes.
	WeightRate float64
}

// Store is the platform's state. It is safe for concurrent use.
type Store struct {
	Faults fault.Switches

	lag     time.Duration
	weights *rate.Limiter

	mu      sync.Mutex
	rows    map[string]platform.Row
	objects map[string][]byte
	hosts   []hostChange
	counts  map[string]int
}

// hostChange is an entry of the host list and when it becomes visible.
type hostChange struct {
	host    platform.Host
	visible time.Time
}

// New returns an empty platform.
func New(o Options) *Store {
	return &Store{
		lag:     o.HostLag,
		weights: rate.NewLimiter(rate.Limit(cmp.Or(o.WeightRate, 10)), 10),
		rows:    make(map[string]platform.Row),
		objects: make(map[string][]byte),
		counts:  make(map[string]int),
	}
}

// route is one step of the platform.
type route struct {
	step   string
	prefix string
	serve  func(*Store, *fasthttp.RequestCtx)
}

var routes = []route{
	{"get", "/table/row", (*Store).get},
	{"list", "/table/rows", (*Store).list},
	{"commit", "/table/txn", (*Store).commit},
	{"object", "/objects/", (*Store).object},
	{"weight", "/weights/", (*Store).weight},
	{"hosts", "/hosts", (*Store).hostList},
}

// Handle serves one request.
func (s *Store) Handle(ctx *fasthttp.RequestCtx) {
	if s.Faults.Handle(ctx) {
		return
	}
	path := string(ctx.Path())
	if path == "/counts" {
		s.writeCounts(ctx)
		return
	}
	for _, r := range routes {
		if path == r.prefix || strings.HasSuffix(r.prefix, "/") && strings.HasPrefix(path, r.prefix) {
			s.serve(ctx, r)
			return
		}
	}
	ctx.Error("unknown path", fasthttp.StatusNotFound)
}

func (s *Store) serve(ctx *fasthttp.RequestCtx, r route) {
	f, faulty := s.Faults.Take(r.step)
	if faulty && fault.Before(ctx, f) {
		return
	}
	s.mu.Lock()
	s.counts[r.step]++
	r.serve(s, ctx)
	s.mu.Unlock()
	if faulty && f.Mode == fault.DropAnswer {
		fault.Hangup(ctx)
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (s *Store) writeCounts(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	counts := maps.Clone(s.counts)
	s.mu.Unlock()
	writeJSON(ctx, counts)
}

func (s *Store) get(ctx *fasthttp.RequestCtx) {
	row, ok := s.rows[string(ctx.QueryArgs().Peek("key"))]
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	writeJSON(ctx, row)
}

func (s *Store) list(ctx *fasthttp.RequestCtx) {
	prefix := string(ctx.QueryArgs().Peek("prefix"))
	limit, err := strconv.Atoi(string(ctx.QueryArgs().Peek("limit")))
	if err != nil || limit < 1 {
		ctx.Error("limit must be a positive number", fasthttp.StatusBadRequest)
		return
	}
	rows := make([]platform.Row, 0, limit)
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	if string(ctx.QueryArgs().Peek("descending")) == "true" {
		slices.Reverse(rows)
	}
	writeJSON(ctx, platform.RowList{Rows: rows[:min(limit, len(rows))]})
}

func (s *Store) commit(ctx *fasthttp.RequestCtx) {
	var t platform.Txn
	if err := json.Unmarshal(ctx.PostBody(), &t); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	for _, check := range t.Checks {
		if s.rows[check.Key].Version != check.Version {
			writeJSON(ctx, platform.Conflict{Key: check.Key})
			ctx.SetStatusCode(fasthttp.StatusConflict)
			return
		}
	}
	for _, put := range t.Puts {
		s.rows[put.Key] = platform.Row{Key: put.Key, Value: put.Value, Version: s.rows[put.Key].Version + 1}
	}
}

func (s *Store) object(ctx *fasthttp.RequestCtx) {
	name := strings.TrimPrefix(string(ctx.Path()), "/objects/")
	if ctx.IsPut() {
		s.objects[name] = slices.Clone(ctx.PostBody())
		return
	}
	body, ok := s.objects[name]
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetBody(body)
}

func (s *Store) weight(ctx *fasthttp.RequestCtx) {
	if !s.weights.Allow() {
		ctx.Response.Header.Set("Retry-After", "1")
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	s.object(ctx)
}

// hostList answers the list as it was HostLag ago. PUT changes an entry, as
// the platform's own automation would.
func (s *Store) hostList(ctx *fasthttp.RequestCtx) {
	now := time.Now()
	if ctx.IsPut() {
		var h platform.Host
		if err := json.Unmarshal(ctx.PostBody(), &h); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.hosts = append(s.hosts, hostChange{host: h, visible: now.Add(s.lag)})
		return
	}
	latest := make(map[string]platform.Host)
	for _, ch := range s.hosts {
		if !ch.visible.After(now) {
			latest[ch.host.Name] = ch.host
		}
	}
	hosts := slices.SortedFunc(maps.Values(latest), func(a, b platform.Host) int { return strings.Compare(a.Name, b.Name) })
	writeJSON(ctx, platform.HostList{Hosts: hosts})
}

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
// The steps "get" (one row), "list", "feed", "commit", "object", "hosts" (the
// table of routers) and "weight" can be switched; see package fault. GET /counts
// tells how often each was asked.
//
// # Control
//
// PUT /hosts enters a router as the platform's automation would, after the lag.
// PUT and DELETE /rows?table=T&key=K write a row as operators and targets do.
// POST /forget drops the history, so that feeds answer 410. POST /goback?age=2s&again=1s has
// the store come back from a copy of that age: a new era begins, and its versions go on
// from those of the copy. What operators and targets wrote since is written again after
// the second time; what routers wrote is lost.
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
	"zinccove.example/zinccove/platform/wire"
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
	rows    map[id]wire.Row
	version uint64
	// removed are rows that went, for feeds; forgotten is the version up to
	// which the history is lost.
	removed   []wire.Row
	forgotten uint64
	// changed is closed and replaced with each change.
	changed chan struct{}
	objects map[string][]byte
	hosts   []hostChange
	counts  map[string]int
	// era grows each time the store comes back from one of its copies.
	era    uint64
	copies []state
}

// state is what the store held until it changed.
type state struct {
	until   time.Time
	rows    map[id]wire.Row
	removed []wire.Row
	version uint64
}

// copyFor is how long copies are kept.
const copyFor = 20 * time.Second

// id names a row.
type id struct{ table, part, key string }

// hostChange is an entry of the host list and when it becomes visible.
type hostChange struct {
	row     wire.Row
	visible time.Time
}

// New returns an empty platform.
func New(o Options) *Store {
	return &Store{
		lag:     o.HostLag,
		weights: rate.NewLimiter(rate.Limit(cmp.Or(o.WeightRate, 10)), 10),
		rows:    make(map[id]wire.Row),
		changed: make(chan struct{}),
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
	{"list", wire.PathRows, (*Store).list},
	{"feed", wire.PathFeed, (*Store).feed},
	{"commit", wire.PathTransact, (*Store).commit},
	{"object", wire.PathGet, (*Store).getObject},
	{"object", wire.PathPut, (*Store).putObject},
	{"weight", "/weights/", (*Store).weight},
	{"control", "/hosts", (*Store).enterHost},
	{"control", "/rows", (*Store).writeRow},
	{"control", "/forget", (*Store).forget},
	{"control", "/goback", (*Store).goBack},
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

// stepOf returns the step that can be switched; listings of one row and of routers
// have their own.
func (r route) stepOf(ctx *fasthttp.RequestCtx) string {
	switch {
	case r.step != "list":
		return r.step
	case string(ctx.QueryArgs().Peek(wire.ParamTable)) == wire.TableRouters:
		return "hosts"
	case string(ctx.QueryArgs().Peek(wire.ParamLimit)) == "1":
		return "get"
	}
	return r.step
}

func (s *Store) serve(ctx *fasthttp.RequestCtx, r route) {
	step := r.stepOf(ctx)
	f, faulty := s.Faults.Take(step)
	if faulty && fault.Before(ctx, f) {
		return
	}
	s.mu.Lock()
	s.counts[step]++
	s.showHosts()
	r.serve(s, ctx)
	ctx.Response.Header.Set(wire.HeaderEra, strconv.FormatUint(s.era, 10))
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

// put writes a row at a new version. The version of the store must have grown
// before.
func (s *Store) put(r wire.Row) {
	r.Ver, r.Removed = s.version, false
	s.rows[id{r.Table, r.Part, r.Key}] = r
}

func (s *Store) remove(r wire.Row) {
	name := id{r.Table, r.Part, r.Key}
	if _, ok := s.rows[name]; !ok {
		return
	}
	delete(s.rows, name)
	s.removed = append(s.removed, wire.Row{Table: r.Table, Key: r.Key, Ver: s.version, Removed: true})
}

// grow begins a change: it moves the version and wakes the feeds.
func (s *Store) grow() {
	s.keepCopy()
	s.version++
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// keepCopy keeps what the store holds before a change.
func (s *Store) keepCopy() {
	now := time.Now()
	s.copies = slices.DeleteFunc(s.copies, func(c state) bool { return now.Sub(c.until) > copyFor })
	s.copies = append(s.copies, state{until: now, rows: maps.Clone(s.rows), removed: slices.Clone(s.removed), version: s.version})
}

// goBack begins a new era with what the store held some time ago.
func (s *Store) goBack(ctx *fasthttp.RequestCtx) {
	age, err := time.ParseDuration(string(ctx.QueryArgs().Peek("age")))
	again, err2 := time.ParseDuration(string(ctx.QueryArgs().Peek("again")))
	if err != nil || err2 != nil {
		ctx.Error("age and again are durations", fasthttp.StatusBadRequest)
		return
	}
	at := time.Now().Add(-age)
	before := s.rows
	if i := slices.IndexFunc(s.copies, func(c state) bool { return c.until.After(at) }); i >= 0 {
		c := s.copies[i]
		s.rows, s.removed, s.version = maps.Clone(c.rows), slices.Clone(c.removed), c.version
	}
	s.copies = nil
	s.era++
	s.wake()
	copied := maps.Clone(s.rows)
	time.AfterFunc(again, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.writeAgain(before, copied)
	})
}

// writeAgain writes what operators and targets wrote after a copy was made.
func (s *Store) writeAgain(before, copied map[id]wire.Row) {
	owned := func(n id) bool { return n.table == wire.TableOperator || n.table == wire.TableTargets }
	for n, r := range before {
		if owned(n) && copied[n].Ver != r.Ver && s.rows[n].Ver == copied[n].Ver {
			s.grow()
			s.put(r)
		}
	}
	for n, r := range copied {
		if _, kept := before[n]; owned(n) && !kept && s.rows[n].Ver == r.Ver {
			s.grow()
			s.remove(r)
		}
	}
}

// table returns the rows of a table in key order.
func (s *Store) table(name string) []wire.Row {
	var rows []wire.Row
	for n, r := range s.rows {
		if n.table == name {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b wire.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

func (s *Store) list(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	from, before := string(args.Peek(wire.ParamFrom)), string(args.Peek(wire.ParamBefore))
	part := string(args.Peek(wire.ParamPart))
	limit, err := args.GetUint(wire.ParamLimit)
	if err != nil || limit > wire.MaxRows {
		limit = wire.MaxRows
	}
	answer := wire.Rows{Rows: []wire.Row{}, Ver: s.version}
	for _, r := range s.table(string(args.Peek(wire.ParamTable))) {
		if r.Part != part || r.Key < from || before != "" && r.Key >= before {
			continue
		}
		if len(answer.Rows) == limit {
			answer.More = true
			break
		}
		answer.Rows = append(answer.Rows, r)
	}
	writeJSON(ctx, answer)
}

// feed answers as soon as something changed. It gives up the lock while it
// waits.
func (s *Store) feed(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	table := string(args.Peek(wire.ParamTable))
	since, err := strconv.ParseUint(string(args.Peek(wire.ParamSince)), 10, 64)
	if err != nil {
		ctx.Error("version must be a number", fasthttp.StatusBadRequest)
		return
	}
	deadline := time.Now().Add(time.Duration(args.GetUintOrZero(wire.ParamWait)) * time.Millisecond)
	for {
		if since < s.forgotten || since > s.version {
			ctx.SetStatusCode(fasthttp.StatusGone)
			return
		}
		rows := s.after(table, since)
		left := time.Until(deadline)
		if len(rows) > 0 || left <= 0 {
			writeJSON(ctx, wire.Rows{Rows: rows, Ver: s.version})
			return
		}
		s.wait(left)
	}
}

func (s *Store) wait(most time.Duration) {
	changed := s.changed
	s.mu.Unlock()
	defer s.mu.Lock()
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

// after returns the rows of a table that changed after a version, in order.
func (s *Store) after(table string, since uint64) []wire.Row {
	rows := []wire.Row{}
	for _, r := range slices.Concat(s.table(table), s.removed) {
		if r.Table == table && r.Ver > since {
			rows = append(rows, r)
		}
	}
	slices.SortStableFunc(rows, func(a, b wire.Row) int { return cmp.Compare(a.Ver, b.Ver) })
	return rows
}

func (s *Store) commit(ctx *fasthttp.RequestCtx) {
	var t wire.Txn
	if err := json.Unmarshal(ctx.PostBody(), &t); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	for _, r := range slices.Concat(t.Put, t.Remove) {
		if r.Table == wire.TableTargets {
			ctx.Error("only targets write their entries", fasthttp.StatusForbidden)
			return
		}
	}
	var found []wire.Row
	holds := true
	for _, e := range t.ExpectedRev {
		r := s.rows[id{e.Table, e.Part, e.Key}]
		holds = holds && r.Ver == e.Ver
		if r.Ver > 0 {
			found = append(found, r)
		}
	}
	if !holds {
		writeJSON(ctx, wire.Rows{Rows: found, Ver: s.version})
		ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
		return
	}
	s.grow()
	for _, r := range t.Put {
		s.put(r)
	}
	for _, r := range t.Remove {
		s.remove(r)
	}
	writeJSON(ctx, wire.Rows{Ver: s.version})
}

func (s *Store) getObject(ctx *fasthttp.RequestCtx) {
	s.readObject(ctx, strings.TrimPrefix(string(ctx.Path()), wire.PathGet))
}

func (s *Store) readObject(ctx *fasthttp.RequestCtx, name string) {
	body, ok := s.objects[name]
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetBody(body)
}

func (s *Store) putObject(ctx *fasthttp.RequestCtx) {
	s.objects[strings.TrimPrefix(string(ctx.Path()), wire.PathPut)] = slices.Clone(ctx.PostBody())
}

func (s *Store) weight(ctx *fasthttp.RequestCtx) {
	if !s.weights.Allow() {
		ctx.Response.Header.Set("Retry-After", "1")
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return
	}
	name := string(ctx.Path())
	if ctx.IsPut() {
		s.objects[name] = slices.Clone(ctx.PostBody())
		return
	}
	s.readObject(ctx, name)
}

// enterHost enters a router; it is shown after the lag.
func (s *Store) enterHost(ctx *fasthttp.RequestCtx) {
	var h struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &h); err != nil || h.Name == "" {
		ctx.Error("a router has a name", fasthttp.StatusBadRequest)
		return
	}
	row := wire.Row{Table: wire.TableRouters, Key: h.Name, Value: slices.Clone(ctx.PostBody())}
	s.hosts = append(s.hosts, hostChange{row: row, visible: time.Now().Add(s.lag)})
}

// showHosts makes the routers visible whose lag is over.
func (s *Store) showHosts() {
	now := time.Now()
	var later []hostChange
	for _, ch := range s.hosts {
		if ch.visible.After(now) {
			later = append(later, ch)
			continue
		}
		s.grow()
		s.put(ch.row)
	}
	s.hosts = later
}

// writeRow writes or removes a row without conditions.
func (s *Store) writeRow(ctx *fasthttp.RequestCtx) {
	r := wire.Row{Table: string(ctx.QueryArgs().Peek(wire.ParamTable)), Key: string(ctx.QueryArgs().Peek("key"))}
	s.grow()
	if ctx.IsDelete() {
		s.remove(r)
		return
	}
	r.Value = slices.Clone(ctx.PostBody())
	s.put(r)
}

func (s *Store) forget(*fasthttp.RequestCtx) {
	s.grow()
	s.forgotten = s.version
	s.removed = nil
}

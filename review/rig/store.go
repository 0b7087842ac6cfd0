package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store. Value is base64 in JSON.
type row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Ver   uint64 `json:"ver,omitempty"`
	Gone  bool   `json:"gone,omitempty"`
}

type rowID struct{ table, part, key string }

func (r row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// store is a stand-in for the platform's metadata store: rows, transactions and feeds, as PROTOCOL.md
// describes them, without limits and without loss.
type store struct {
	mu      sync.Mutex
	ver     uint64
	rows    map[rowID]row
	history []row
	changed chan struct{}
	began   time.Time
}

func newStore() *store {
	return &store{rows: make(map[rowID]row), changed: make(chan struct{}), began: time.Now()}
}

// write puts and removes rows in one transaction.
func (s *store) write(put, remove []row) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeLocked(put, remove)
}

func (s *store) writeLocked(put, remove []row) uint64 {
	s.ver++
	for _, r := range put {
		r.Ver, r.Gone = s.ver, false
		s.rows[r.id()] = r
		s.history = append(s.history, r)
	}
	for _, r := range remove {
		if _, ok := s.rows[r.id()]; ok {
			delete(s.rows, r.id())
			s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Gone: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.ver
}

type answer struct {
	Rows  []row  `json:"rows"`
	More  bool   `json:"more"`
	Ver   uint64 `json:"ver"`
	NowMs int64  `json:"now_ms"`
}

func (s *store) reply(w http.ResponseWriter, status int, a answer) {
	if a.Rows == nil {
		a.Rows = []row{}
	}
	a.NowMs = time.Since(s.began).Milliseconds()
	writeJSON(w, status, a)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(body)
}

// handler returns the store's HTTP interface.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-parts", s.parts)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	return mux
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := answer{Ver: s.ver}
	for id, found := range s.rows {
		before := q.Get("targetVersion")
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (before == "" || id.key < before) {
			a.Rows = append(a.Rows, found)
		}
	}
	slices.SortFunc(a.Rows, func(x, y row) int { return strings.Compare(x.Key, y.Key) })
	if len(a.Rows) > limit {
		a.Rows, a.More = a.Rows[:limit], true
	}
	s.reply(w, http.StatusOK, a)
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var parts []string
	for id := range s.rows {
		if id.table == r.URL.Query().Get("table") && !slices.Contains(parts, id.part) {
			parts = append(parts, id.part)
		}
	}
	slices.Sort(parts)
	writeJSON(w, http.StatusOK, map[string]any{"parts": parts, "more": false, "ver": s.ver})
}

// maxWait is the longest time for which a feed is held.
const maxWait = 30 * time.Second

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("sinceRev"), 10, 64)
	if err != nil {
		http.Error(w, "sinceRev is no number", http.StatusBadRequest)
		return
	}
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(min(time.Duration(ms)*time.Millisecond, maxWait))
	for {
		a, changed := s.since(q.Get("table"), since)
		if len(a.Rows) > 0 {
			s.reply(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			a, _ = s.since(q.Get("table"), since)
			s.reply(w, http.StatusOK, a)
			return
		}
	}
}

func (s *store) since(table string, ver uint64) (answer, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := answer{Ver: s.ver}
	for _, r := range s.history {
		if r.Table == table && r.Ver > ver {
			a.Rows = append(a.Rows, r)
		}
	}
	return a, s.changed
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		ExpectedRev []row `json:"expectedRev"`
		Put         []row `json:"put"`
		Remove      []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range slices.Concat(tx.Put, tx.Remove) {
		if x.Table == tableTargets {
			http.Error(w, "the system may not write this table", http.StatusForbidden)
			return
		}
	}
	conflict := false
	a := answer{}
	for _, x := range tx.ExpectedRev {
		if found, ok := s.rows[x.id()]; found.Ver != x.Ver {
			conflict = true
			if ok {
				a.Rows = append(a.Rows, found)
			}
		}
	}
	if conflict {
		a.Ver = s.ver
		s.reply(w, http.StatusPreconditionFailed, a)
		return
	}
	a.Ver = s.writeLocked(tx.Put, tx.Remove)
	s.reply(w, http.StatusOK, a)
}

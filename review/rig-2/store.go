package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Ver   uint64 `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

type rowID struct{ table, part, key string }

// store is a sound stand-in for the platform's store: it keeps rows in tables and tells what has changed.
type store struct {
	addr    string
	started time.Time

	mu      sync.Mutex
	rows    map[rowID]row
	gone    []row
	ver     uint64
	changed chan struct{}
}

// newStore starts a store on a free port of loopback.
func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), started: time.Now(), rows: make(map[rowID]row), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.tx)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-parts", s.parts)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	go http.Serve(l, mux) //nolint:errcheck // it ends with the process
	return s, nil
}

// put writes a row as the operator and the workers do.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[rowID{table, "", key}] = row{Table: table, Key: key, Value: text, Ver: s.ver}
	s.wake()
}

// remove removes a row as a worker that leaves does.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(rowID{table, "", key})
	s.wake()
}

func (s *store) drop(id rowID) {
	if _, known := s.rows[id]; !known {
		return
	}
	s.ver++
	delete(s.rows, id)
	s.gone = append(s.gone, row{Table: id.table, Part: id.part, Key: id.key, Ver: s.ver, Gone: true})
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, fields map[string]any) {
	fields["now_ms"] = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(fields) //nolint:errcheck // the caller may have left
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t struct{ ExpectedRev, Put, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, holds := []row{}, true
	for _, e := range t.ExpectedRev {
		known := s.rows[rowID{e.Table, e.Part, e.Key}]
		holds = holds && known.Ver == e.Ver
		if known.Ver > 0 {
			found = append(found, known)
		}
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": found, "ver": s.ver})
		return
	}
	s.ver++
	for _, p := range t.Put {
		p.Ver = s.ver
		s.rows[rowID{p.Table, p.Part, p.Key}] = p
	}
	for _, p := range t.Remove {
		s.drop(rowID{p.Table, p.Part, p.Key})
	}
	s.wake()
	s.answer(w, http.StatusOK, map[string]any{"ver": s.ver})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for id, known := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") {
			rows = append(rows, known)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	s.answer(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "more": more, "ver": s.ver})
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for id := range s.rows {
		if id.table == r.URL.Query().Get("table") && !slices.Contains(names, id.part) {
			names = append(names, id.part)
		}
	}
	slices.Sort(names)
	s.answer(w, http.StatusOK, map[string]any{"parts": names, "more": false, "ver": s.ver})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("sinceRev"), 10, 64) //nolint:errcheck // 0 reads all
	wait, _ := strconv.Atoi(q.Get("waitMs"))                 //nolint:errcheck // 0 waits for nothing
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := wait <= 0; ; {
		s.mu.Lock()
		rows := []row{}
		for id, known := range s.rows {
			if id.table == q.Get("table") && known.Ver > since {
				rows = append(rows, known)
			}
		}
		for _, g := range s.gone {
			if g.Table == q.Get("table") && g.Ver > since {
				rows = append(rows, g)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || over {
			slices.SortStableFunc(rows, func(a, b row) int { return int(a.Ver) - int(b.Ver) })
			s.answer(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

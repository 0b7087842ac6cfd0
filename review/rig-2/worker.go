package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// modelService is the service of model workers.
const modelService = "llm"

// worker is a stand-in for a worker: it keeps itself in the store and serves requests.
type worker struct {
	id, service, zone, addr string
	fleet                   *fleet
	listener                net.Listener
	// serve answers a request on its connection. It reports whether the connection can be used further.
	serve func(w *worker, c net.Conn, r *http.Request, body []byte) bool

	// coldUntil is when the worker stops being cold.
	coldUntil time.Time

	mu    sync.Mutex
	seq   int
	runs  map[string]int
	ended bool
	conns map[net.Conn]bool
}

// startWorker starts a worker of a service.
func (f *fleet) startWorker(id, service, zone string, serve func(*worker, net.Conn, *http.Request, []byte) bool) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, zone: zone, addr: l.Addr().String(), fleet: f, listener: l, serve: serve, runs: make(map[string]int), conns: make(map[net.Conn]bool)}
	f.workers = append(f.workers, w)
	go w.accept()
	w.beat("ready")
	return w, nil
}

// beat writes the entry of the worker. Only changes of more than seq are told by the store, so that the
// writes between them are left out.
func (w *worker) beat(state string) {
	w.seq++
	slots := 6
	if w.service == modelService {
		slots = 32
	}
	w.fleet.store.put("servers", w.id, map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": slots, "state": state, "coldLeftMs": max(time.Until(w.coldUntil).Milliseconds(), 0), "seq": w.seq,
	})
}

func (w *worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.handle(c)
	}
}

// end closes the listener and resets all connections, as the end of a process does.
func (w *worker) end() {
	w.listener.Close() //nolint:errcheck // it is of no use
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	for c := range w.conns {
		c.(*net.TCPConn).SetLinger(0) //nolint:errcheck // it may be closed
		c.Close()                     //nolint:errcheck // it may be closed
	}
}

// keep notes an open connection. It reports false if the worker has ended.
func (w *worker) keep(c net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[c] = true
	return !w.ended
}

func (w *worker) forget(c net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
}

func (w *worker) handle(c net.Conn) {
	defer c.Close() //nolint:errcheck // it may be closed
	if !w.keep(c) {
		return
	}
	defer w.forget(c)
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		switch {
		case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != w.id:
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id) //nolint:errcheck // the caller may have left
			continue
		case r.URL.Path == "/health":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id) //nolint:errcheck // the caller may have left
			continue
		}
		if r.URL.Path == "/-/report" {
			const report = `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":2,"waiting":0,"running":0,"kvUsed":0,"kvTotal":570274,"handles":0}`
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report) //nolint:errcheck // the caller may have left
			continue
		}
		id := r.Header.Get("Request-Id")
		w.mu.Lock()
		w.runs[id]++
		w.mu.Unlock()
		w.fleet.record.add("worker %s runs %s %s %s", w.id, id, r.Method, r.URL.Path)
		if !w.serve(w, c, r, body) {
			return
		}
	}
}

// began returns how often a worker of the fleet began a request.
func (f *fleet) began(id string) int {
	n := 0
	for _, w := range f.workers {
		w.mu.Lock()
		n += w.runs[id]
		w.mu.Unlock()
	}
	return n
}

// whole writes a whole answer of some bytes.
func whole(c net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get("Request-Id")
	_, err := c.Write(append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s-%d\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n", id, id, len(body), len(body)), body...))
	return err == nil
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// worker is a stand-in for a worker: it keeps itself in the store and serves requests.
type worker struct {
	id, service, zone, addr string
	fleet                   *fleet
	listener                net.Listener
	// serve answers a request on its connection. It reports whether the connection can be used further.
	serve func(w *worker, c net.Conn, r *http.Request, body []byte) bool

	mu   sync.Mutex
	seq  int
	runs map[string]int
}

// startWorker starts a worker of a service.
func (f *fleet) startWorker(id, service, zone string, serve func(*worker, net.Conn, *http.Request, []byte) bool) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, zone: zone, addr: l.Addr().String(), fleet: f, listener: l, serve: serve, runs: make(map[string]int)}
	f.workers = append(f.workers, w)
	go w.accept()
	w.beat("ready")
	return w, nil
}

// beat writes the entry of the worker. Only changes of more than seq are told by the store, so that the
// writes between them are left out.
func (w *worker) beat(state string) {
	w.seq++
	w.fleet.store.put("servers", w.id, map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": 6, "state": state, "coldLeftMs": 0, "seq": w.seq,
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

func (w *worker) handle(c net.Conn) {
	defer c.Close() //nolint:errcheck // it may be closed
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

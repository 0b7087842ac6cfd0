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

const (
	// contact is the sheet's contactMs, margin is added to it and to drainMs.
	contact = 3 * time.Second
	margin  = 50 * time.Millisecond
	// servesOn is how long the worker serves on after its entry went, longer than drainMs.
	servesOn = 4 * time.Second
	// replaceAfter is the time between the start of the new worker and the leaving of the old one.
	replaceAfter = 300 * time.Millisecond
	// workTime is how long a request takes.
	workTime = 300 * time.Millisecond
)

// silent replaces a worker, which leaves without a word, at the moment at which the open connections of the
// routers to the store go silent, while new ones work.
func silent(f *fleet) (bool, error) {
	seen := &arrivals{at: make(map[string][]time.Time)}
	serve := func(w *worker, c net.Conn, r *http.Request, _ []byte) bool {
		seen.add(w.id)
		time.Sleep(workTime)
		return whole(c, r, []byte("an entry"))
	}
	var last *worker
	for i, z := range zones {
		w, err := f.startWorker(fmt.Sprintf("i-%08x", 0x51000000+i), "app", z, serve)
		if err != nil {
			return false, err
		}
		last = w
	}
	f.store.put("op", "config", config(1))
	p, err := newProxy(f.store.addr)
	if err != nil {
		return false, err
	}
	for n := range 3 {
		f.storeOf[fmt.Sprintf("front-%s-1", zones[n])] = p.addr
		if _, err := f.startRouter(n); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	var g sync.WaitGroup
	var failed count
	stop := make(chan struct{})
	for i := range 12 {
		g.Go(func() { f.keepAsking(i, f.routers[i%len(f.routers)], stop, &failed) })
	}
	time.Sleep(6 * time.Second)
	next, err := f.startWorker("i-51000003", "app", zones[2], serve)
	if err != nil {
		return false, err
	}
	f.record.add("worker %s starts, which replaces %s", next.id, last.id)
	time.Sleep(replaceAfter)
	if trouble() {
		p.muted.Add(1)
		f.record.add("the open connections of the routers to the store go silent")
	}
	gone := time.Now()
	f.store.remove("servers", last.id)
	f.record.add("the entry of worker %s goes; it serves on", last.id)
	time.Sleep(servesOn)
	last.end()
	f.record.add("worker %s ends", last.id)
	time.Sleep(time.Second)
	close(stop)
	g.Wait()

	judged := gone.Add(drainMs*time.Millisecond + margin)
	if trouble() {
		judged = gone.Add(contact + margin)
	}
	late := 0
	for _, at := range seen.at[last.id] {
		if at.After(judged) {
			late++
			f.record.add("a request reached worker %s %.3f s after its entry went", last.id, at.Sub(gone).Seconds())
		}
	}
	f.record.add("%d requests reached it too late; %d of all requests that ran got no answer of their worker", late, failed.get())
	return late > 0, nil
}

// keepAsking sends requests that may not be repeated, one after the other on a kept connection.
func (f *fleet) keepAsking(number int, r *router, stop chan struct{}, failed *count) {
	var c net.Conn
	var in *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = dial(r.front); err != nil {
				f.record.add("client %d: %v", number, err)
				return
			}
			in = bufio.NewReader(c)
		}
		id := fmt.Sprintf("s%02d-%04d", number, n)
		c.SetDeadline(time.Now().Add(3 * time.Second)) //nolint:errcheck // the exchange fails then
		err := send(c, http.MethodPost, "/record/a", id, "an entry", 2*time.Second)
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(in, nil)
		}
		if (err != nil || resp.StatusCode != http.StatusOK) && f.began(id) > 0 {
			failed.add()
		}
		if err == nil {
			io.Copy(io.Discard, resp.Body) //nolint:errcheck // a short one
			resp.Body.Close()              //nolint:errcheck // it was read
			if resp.StatusCode != http.StatusOK {
				f.record.add("client %s got %s", id, resp.Status)
			}
		} else {
			f.record.add("client %s: %v", id, err)
		}
		if err != nil || resp.Close {
			c.Close() //nolint:errcheck // it is of no use
			c = nil
		}
	}
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// The figures of the sheet and of the configuration.
const (
	coldPerS  = 6.1
	coldOver  = 1.5
	coldSlack = 5
	coldFor   = 3 * time.Second
	// releaseGap is the time between two workers that are replaced, leaveAfter how long the old one serves on.
	releaseGap = 870 * time.Millisecond
	leaveAfter = 3500 * time.Millisecond
	// crashAfter is when a worker crashes after the second one was replaced, crashFor how long it is away.
	crashAfter = 500 * time.Millisecond
	crashFor   = 4500 * time.Millisecond
	// perSecond is the number of requests a second for the three workers.
	perSecond = 32
	// modelEvents is the number of events of a stream, eventEvery the time between two.
	modelEvents = 34
	eventEvery  = 25 * time.Millisecond
	firstEvent  = 70 * time.Millisecond
)

// modelConfig is a configuration with a service of model workers.
func modelConfig(version int) map[string]any {
	c := config(version)
	c["routes"] = []any{map[string]any{"name": "tag", "host": host, "pathPrefix": "/tag/", "kind": "streaming", "timeoutMs": 12000, "targetLatencyMs": 600,
		"gap_aim_ms": 600, "priority": 1, "service": modelService, "maxAttempts": 1, "public": false, "sticky": true, "resumable": false}}
	c["services"] = []any{map[string]any{"name": modelService, "healthPath": "/health", "maxConns": 580, "protocol": "h1", "tls": false, "coldStartS": coldFor.Seconds(), "coldPerS": coldPerS,
		"engine": map[string]any{"slots": 32, "kvTokens": 491273, "kvBytes": 163840, "linkMbps": 550000.0, "moves": true, "backups": true, "stride": 5, "most": 12, "pin_ms": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}}}}}
	return c
}

// arrivals are the times at which requests began to run at a worker.
type arrivals struct {
	mu sync.Mutex
	at map[string][]time.Time
}

func (a *arrivals) add(worker string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at[worker] = append(a.at[worker], time.Now())
}

// most returns the most arrivals at a worker within one second, of those between two times.
func (a *arrivals) most(worker string, from, to time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	var within []time.Time
	for _, at := range a.at[worker] {
		if !at.Before(from) && at.Before(to) {
			within = append(within, at)
		}
	}
	slices.SortFunc(within, time.Time.Compare)
	most, first := 0, 0
	for i := range within {
		for within[i].Sub(within[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// cold replaces two of three model workers one after the other and has the third one crash while the new ones
// are cold.
func cold(f *fleet) (bool, error) {
	seen := &arrivals{at: make(map[string][]time.Time)}
	serve := func(w *worker, c net.Conn, r *http.Request, _ []byte) bool {
		seen.add(w.id)
		return streamEvents(c, r)
	}
	start := func(n int) (*worker, error) {
		return f.startWorker(fmt.Sprintf("i-%08x", 0x51000000+n), modelService, zones[n%3], serve)
	}
	var old []*worker
	for n := range 3 {
		w, err := start(n)
		if err != nil {
			return false, err
		}
		old = append(old, w)
	}
	f.store.put("op", "config", modelConfig(1))
	for n := range 3 {
		if _, err := f.startRouter(n); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	var g sync.WaitGroup
	stop := time.Now().Add(22 * time.Second)
	g.Go(func() { f.traffic(stop, &g) })
	time.Sleep(10 * time.Second)

	type life struct {
		w     *worker
		since time.Time
	}
	var fresh []life
	for n := range 2 {
		w, err := start(3 + n)
		if err != nil {
			return false, err
		}
		w.coldUntil = time.Now().Add(coldFor)
		w.beat("ready")
		fresh = append(fresh, life{w, time.Now()})
		f.record.add("worker %s starts, cold for %s", w.id, coldFor)
		leaving := old[n]
		leaving.beat("draining")
		f.record.add("worker %s says that it drains", leaving.id)
		time.AfterFunc(leaveAfter, func() {
			f.record.add("worker %s leaves", leaving.id)
			f.store.remove("servers", leaving.id)
			leaving.end()
		})
		if n == 0 {
			time.Sleep(releaseGap)
		}
	}
	time.Sleep(crashAfter)
	if trouble() {
		last := old[2]
		last.end()
		f.record.add("worker %s crashes", last.id)
		time.AfterFunc(crashFor, func() {
			f.store.remove("servers", last.id)
			if w, err := start(5); err == nil {
				w.coldUntil = time.Now().Add(coldFor)
				w.beat("ready")
				f.record.add("worker %s starts in its place", w.id)
			}
		})
	}
	g.Wait()
	broken := false
	const bound = coldPerS*coldOver + coldSlack
	for _, l := range fresh {
		most := seen.most(l.w.id, l.since, l.since.Add(coldFor))
		f.record.add("worker %s got up to %d requests in one second while it was cold; %.2f is the bound", l.w.id, most, bound)
		broken = broken || float64(most) > bound
	}
	return broken, nil
}

// streamEvents answers with a stream.
func streamEvents(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	time.Sleep(firstEvent)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\nVersions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	for n := 1; n <= modelEvents && err == nil; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(eventEvery)
	}
	if err == nil {
		_, err = fmt.Fprint(c, "0\r\n\r\n")
	}
	return err == nil
}

// traffic sends requests at random times to the routers in turn, each on a connection of its own.
func (f *fleet) traffic(stop time.Time, g *sync.WaitGroup) {
	draw := rand.New(rand.NewPCG(1, uint64(time.Now().UnixNano())))
	for n := 0; time.Now().Before(stop); n++ {
		time.Sleep(time.Duration(draw.ExpFloat64() * float64(time.Second) / perSecond))
		id, to := fmt.Sprintf("c%05d", n), f.routers[n%len(f.routers)]
		parts := fmt.Sprintf("%x:210,%x:140,%x:760", 0xa00+draw.IntN(40), 0xb00+draw.IntN(72), 0xc0000+n)
		g.Go(func() { f.callModel(to, id, parts) })
	}
}

// callModel sends one request and reads its answer.
func (f *fleet) callModel(to *router, id, parts string) {
	c, err := dial(to.front)
	if err != nil {
		f.record.add("client %s: %v", id, err)
		return
	}
	defer c.Close()                                 //nolint:errcheck // the answer is known
	c.SetDeadline(time.Now().Add(12 * time.Second)) //nolint:errcheck // the exchange fails then
	const body = "tag this clip"
	_, err = fmt.Fprintf(c, "POST /tag/a HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nModel: m\r\nToken-Usage: 1110,170\r\nPrompt-Prefix: %s\r\nRequest-Deadline: 12000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		host, id, parts, key, len(body), body)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(bufio.NewReader(c), nil)
	}
	if err != nil {
		f.record.add("client %s: %v", id, err)
		return
	}
	text, err := io.ReadAll(resp.Body)
	resp.Body.Close() //nolint:errcheck // it was read
	f.record.add("client %s got %s, %d events, %v", id, resp.Status, strings.Count(string(text), "\n\n"), err)
}

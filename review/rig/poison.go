package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// poisonConfig has one route of streams for two customers.
const poisonConfig = `{"version":7,"routes":[` +
	`{"name":"draft","host":"archive.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":800,"gap_aim_ms":400,"priority":1,"service":"model","maxAttempts":1,"public":false,"sticky":true,"resumable":false}],` +
	`"services":[{"name":"model","healthPath":"/health","maxConns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvTokens":570274,"kvBytes":163840,"linkMbps":550000.0,"stride":3,"models":[{"name":"m"}]}}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokens_per_s":300000},` +
	`"tenants":[{"name":"t1","apiKeys":["key-of-t1"],"priority":1},{"name":"t2","apiKeys":["key-of-t2"],"priority":1}]}`

const (
	poisonWorkers = 9
	// soundFor is how long the sound callers come, before and after their pause.
	soundFor    = 10 * time.Second
	soundPeriod = 250 * time.Millisecond
	// soundPause is the pause of the sound callers.
	soundPause = 15 * time.Second
	// crashingPeriod is the time between two requests with the part that crashes workers. They begin
	// crashingBefore the sound callers return, and come until the end.
	crashingPeriod = 400 * time.Millisecond
	crashingBefore = 3 * time.Second
	// workerDown is how long a crashed worker is away, entryLapses when the entry of the ended one goes:
	// after three heartbeats.
	workerDown  = 2 * time.Second
	entryLapses = 3600 * time.Millisecond
	// settled is 2 x contactMs.
	settled = 6 * time.Second
)

// sharedParts are the parts that all prompts of a customer share, by its key.
var sharedParts = map[string]string{"key-of-t1": "5c1e07a2:800,91bd3f06:410", "key-of-t2": "77ab1c02:600,0c4d55e1:320"}

// revive starts workers again that crashed, as new incarnations at their addresses.
func (s *site) revive(stop <-chan struct{}) {
	seen := make(map[string]time.Time)
	for n := 0; ; {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for id, w := range s.workers {
			select {
			case <-w.done:
			default:
				continue
			}
			at, known := seen[id]
			switch {
			case !known:
				seen[id] = time.Now()
				s.note("worker %s has crashed", id)
			case w.state != "replaced" && time.Since(at) >= workerDown:
				n++
				o := w.options
				o.ID = fmt.Sprintf("i-new-%d", n)
				w.state = "replaced"
				if err := s.addWorker(o); err != nil {
					s.note("worker %s: %v", o.ID, err)
				}
			case time.Since(at) >= entryLapses:
				s.leave(id)
				delete(s.workers, id)
			}
		}
	}
}

// poisonCase has requests come whose prompts hold a part that crashes workers, while the sound callers of
// the same customer, who share the other parts, pause.
func poisonCase(s *site, trouble bool) (broken bool, err error) {
	zones := []string{"hall-a", "hall-b", "hall-c"}
	if err := s.addRouters(zones...); err != nil {
		return false, err
	}
	s.configure(poisonConfig)
	for i := range poisonWorkers {
		o := workerOptions{ID: fmt.Sprintf("i-model-%d", i+1), Service: "model", Zone: zones[i%3], Slots: 64, Framing: chunked, Pieces: 10, Begin: 60 * time.Millisecond, Gap: 30 * time.Millisecond, Stream: true}
		if err := s.addWorker(o); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var reviver sync.WaitGroup
	reviver.Go(func() { s.revive(stop) })

	var wg sync.WaitGroup
	send := func(n int, key, prefix string) *reply {
		return s.do(s.routers[n%len(s.routers)].caller, call{
			Method: http.MethodPost, Path: fmt.Sprintf("/draft/%d", n), Key: key, Body: fmt.Sprint("text ", key, n), Deadline: 12 * time.Second,
			Header: []string{"Model: m", "Token-Usage: 1460,80", "Prompt-Prefix: " + prefix},
		})
	}
	var mu sync.Mutex
	// sound counts the requests and the streams that began, by customer.
	type tally struct{ sent, begun int }
	n := 0
	sound := func(from, to time.Time) map[string]*tally {
		counts := map[string]*tally{"key-of-t1": {}, "key-of-t2": {}}
		for time.Now().Before(to) {
			for key, t := range counts {
				counted := time.Now().After(from)
				i := n
				n++
				wg.Go(func() {
					r := send(i, key, fmt.Sprintf("%s,%08x:250", sharedParts[key], i))
					mu.Lock()
					defer mu.Unlock()
					if !counted {
						return
					}
					t.sent++
					if r.Status == http.StatusOK && len(r.Body) > 0 {
						t.begun++
					}
				})
			}
			time.Sleep(soundPeriod)
		}
		wg.Wait()
		return counts
	}
	now := time.Now()
	before := sound(now, now.Add(soundFor))
	s.note("the sound callers pause")
	time.Sleep(soundPause - crashingBefore)
	if trouble {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(crashingPeriod):
				}
				send(i, "key-of-t1", fmt.Sprintf("%s,%s:300,%08x:250", sharedParts["key-of-t1"], crashingPart, 1<<20+i))
			}
		})
	}
	time.Sleep(crashingBefore)
	s.note("the sound callers are back")
	end := time.Now().Add(settled + soundFor)
	var after map[string]*tally
	done := make(chan struct{})
	go func() {
		time.Sleep(time.Until(end))
		close(stop)
	}()
	go func() {
		after = sound(end.Add(-soundFor), end)
		close(done)
	}()
	<-done
	reviver.Wait()
	crashes := 0
	s.mu.Lock()
	for _, e := range s.events {
		if e.What == runCrashed {
			crashes++
		}
	}
	s.mu.Unlock()
	for _, key := range []string{"key-of-t1", "key-of-t2"} {
		s.note("sound requests with %s that began: %d of %d before, %d of %d from %s after they were back", key, before[key].begun, before[key].sent, after[key].begun, after[key].sent, settled)
	}
	s.note("%d workers crashed", crashes)
	b, a := before["key-of-t1"], after["key-of-t1"]
	if b.sent < 20 || a.sent < 20 || 2*b.begun < b.sent {
		return false, fmt.Errorf("too few requests: %d of %d, %d of %d", b.begun, b.sent, a.begun, a.sent)
	}
	return 2*a.begun*b.sent < a.sent*b.begun, nil
}

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// deadlineConfig has one call of a plain service. Its time limit is a parameter.
const deadlineConfig = `{"version":%d,"routes":[` +
	`{"name":"record","host":"archive.example","pathPrefix":"/record/","kind":"non_idempotent","timeoutMs":%d,"targetLatencyMs":4000,"priority":1,"service":"plain","maxAttempts":1,"public":false}],` +
	`"services":[{"name":"plain","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokens_per_s":300000},` +
	`"tenants":[{"name":"t1","apiKeys":["key-of-t1"],"priority":1}]}`

const (
	deadlineClients = 12
	// deadlineRest is the time between a response and the next request on the same connection: less
	// than four fifths of idleTimeoutMs, for which clients reuse connections.
	deadlineRest = 11 * time.Second
	// deadlineWork is the time that a worker takes for each request.
	deadlineWork = 2 * time.Second
	// lateTimeout is the time limit that the operator sets in the second version.
	lateTimeout = time.Second
	// deadlineRequests is the number of requests of each client, the first one before the change.
	deadlineRequests = 4
	// answerWithin is how long after its route's time limit a request must have an answer (CONFIG).
	answerWithin = 500 * time.Millisecond
)

// deadlineCase has clients keep their connections while the operator lowers the time limit of their route
// below what its requests take. From then on each request gets its answer from the router: 504, and no
// client asks again before it has rested.
func deadlineCase(s *site, trouble bool) (broken bool, err error) {
	zones := []string{"hall-a", "hall-b", "hall-c"}
	if err := s.addRouters(zones...); err != nil {
		return false, err
	}
	s.configure(fmt.Sprintf(deadlineConfig, 7, 6000))
	for i, zone := range zones {
		o := workerOptions{ID: fmt.Sprintf("i-plain-%d", i+1), Service: "plain", Zone: zone, Slots: 6, Framing: length, Pieces: 3, Begin: deadlineWork, Gap: time.Millisecond}
		if err := s.addWorker(o); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	var (
		wg sync.WaitGroup
		mu sync.Mutex
		// lost requests were sent on a kept connection, ran at a worker, and the connection closed without
		// an answer. late requests ran past the time limit, unanswered ones had no answer 0.5 s later.
		first, lost, late, unanswered int
		failed                        error
	)
	run := func(i int) {
		c := &keptClient{site: s, router: s.routers[i%len(s.routers)].caller}
		time.Sleep(time.Duration(i) * 50 * time.Millisecond)
		for n := range deadlineRequests {
			if n > 0 {
				time.Sleep(deadlineRest)
			}
			r, kept, took, err := c.send(http.MethodPost, fmt.Sprintf("/record/%d-%d", i, n))
			began, _ := s.runs(r.ID)
			mu.Lock()
			switch {
			case err != nil:
				failed = err
			case n == 0:
				if r.Err == nil && r.Status == http.StatusOK {
					first++
				}
			default:
				answered := r.Err == nil
				if trouble && took >= lateTimeout {
					late++
					if !answered || took > lateTimeout+answerWithin {
						unanswered++
					}
				}
				if kept && len(began) > 0 && !answered {
					lost++
					s.note("LOST: %s was sent on a kept connection, ran at %v, and the connection closed without an answer", r.ID, began)
				}
			}
			mu.Unlock()
		}
	}
	for i := range deadlineClients {
		wg.Go(func() { run(i) })
	}
	if trouble {
		time.Sleep(5 * time.Second)
		s.configure(fmt.Sprintf(deadlineConfig, 8, lateTimeout.Milliseconds()))
	}
	wg.Wait()
	s.note("%d of %d first requests were answered by a worker; %d requests ran past their time limit, %d of these had no answer 0.5 s later; %d lost on kept connections",
		first, deadlineClients, late, unanswered, lost)
	switch {
	case failed != nil:
		return false, failed
	case first < deadlineClients:
		return false, fmt.Errorf("only %d of %d first requests were answered", first, deadlineClients)
	}
	return lost > 3, nil
}

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// movedConfig has one route whose requests may be repeated. The operator moves it to another service.
const movedConfig = `{"version":%d,"routes":[` +
	`{"name":"lookup","host":"archive.example","pathPrefix":"/lookup/","kind":"idempotent","timeoutMs":6000,"targetLatencyMs":1000,"priority":1,"service":%q,"maxAttempts":2,"public":false}],` +
	`"services":[{"name":"model","healthPath":"/health","maxConns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvTokens":570274,"kvBytes":163840,"linkMbps":550000.0,"stride":3,"models":[{"name":"m"}]}},` +
	`{"name":"plain","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokens_per_s":300000},` +
	`"tenants":[{"name":"t1","apiKeys":["key-of-t1"],"priority":1}]}`

const (
	movedClients  = 12
	movedRequests = 16
	movedPause    = 500 * time.Millisecond
)

// movedCase has an operator move a route from a plain service to one of model workers. Its requests are no
// streams, and the workers of both services answer them with a body of JSON with a length.
func movedCase(s *site, trouble bool) (broken bool, err error) {
	zones := []string{"hall-a", "hall-b", "hall-c"}
	if err := s.addRouters(zones...); err != nil {
		return false, err
	}
	s.configure(fmt.Sprintf(movedConfig, 7, "plain"))
	for i, zone := range zones {
		for _, service := range []string{"plain", "model"} {
			o := workerOptions{ID: fmt.Sprintf("i-%s-%d", service, i+1), Service: service, Zone: zone, Slots: 64, Framing: length, JSON: true, Begin: 20 * time.Millisecond}
			if err := s.addWorker(o); err != nil {
				return false, err
			}
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	var (
		wg             sync.WaitGroup
		mu             sync.Mutex
		answered, lost int
		failed         error
	)
	run := func(i int) {
		c := &keptClient{site: s, router: s.routers[i%len(s.routers)].caller}
		for n := range movedRequests {
			r, kept, _, err := c.send(http.MethodGet, fmt.Sprintf("/lookup/%d-%d", i, n))
			began, ended := s.runs(r.ID)
			mu.Lock()
			switch {
			case err != nil:
				failed = err
			case r.Err == nil && r.Status == http.StatusOK && string(r.Body) == jsonBody(r.ID):
				answered++
			case kept && r.Status == 0 && len(ended) > 0:
				lost++
				s.note("LOST: %s was sent on a kept connection, began at %v, ended well at %v, and the connection closed without an answer", r.ID, began, ended)
			}
			mu.Unlock()
			time.Sleep(movedPause)
		}
	}
	for i := range movedClients {
		wg.Go(func() { run(i) })
	}
	time.Sleep(4 * time.Second)
	if trouble {
		s.configure(fmt.Sprintf(movedConfig, 8, "model"))
	}
	wg.Wait()
	s.note("%d of %d requests were answered; %d lost on kept connections", answered, movedClients*movedRequests, lost)
	switch {
	case failed != nil:
		return false, failed
	case answered < movedClients:
		return false, fmt.Errorf("only %d requests were answered", answered)
	}
	return lost > 3, nil
}

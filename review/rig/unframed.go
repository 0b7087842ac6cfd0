package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// unframedConfig has a stream and a call that may not be repeated.
const unframedConfig = `{"version":%d,"routes":[` +
	`{"name":"draft","host":"archive.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":800,"gap_aim_ms":400,"priority":1,"service":"model","maxAttempts":1,"public":false,"sticky":true,"resumable":false},` +
	`{"name":"record","host":"archive.example","pathPrefix":"/record/","kind":"non_idempotent","timeoutMs":12000,"targetLatencyMs":4000,"priority":1,"service":"plain","maxAttempts":1,"public":false}],` +
	`"services":[{"name":"model","healthPath":"/health","maxConns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvTokens":570274,"kvBytes":163840,"linkMbps":550000.0,"stride":3,"models":[{"name":"m"}]}},` +
	`{"name":"plain","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokens_per_s":300000},` +
	`"tenants":[{"name":"t1","apiKeys":["key-of-t1"],"priority":1}]}`

const (
	unframedPieces = 80
	unframedGap    = 50 * time.Millisecond // a body takes 4 s
	// leavesAfter is the time between the notice of a worker and its end: drainMs and a little longer.
	leavesAfter = 2500 * time.Millisecond
)

// unframedCase has a worker of each service leave: it says so, and ends 2.5 s later, in the midst of
// responses without length or chunks.
func unframedCase(s *site, trouble bool) (broken bool, err error) {
	if err := s.addRouters("hall-a", "hall-b", "hall-c"); err != nil {
		return false, err
	}
	s.configure(fmt.Sprintf(unframedConfig, 7))
	for i, zone := range []string{"hall-a", "hall-b", "hall-c"} {
		for _, service := range []string{"model", "plain"} {
			o := workerOptions{
				ID: fmt.Sprintf("i-%s-%d", service, i+1), Service: service, Zone: zone, Slots: 64, Framing: unframed,
				Pieces: unframedPieces, Begin: 30 * time.Millisecond, Gap: unframedGap, Stream: service == "model",
			}
			if err := s.addWorker(o); err != nil {
				return false, err
			}
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var replies []*reply
	for i := range 36 {
		c := call{Method: "POST", Path: "/draft/x", Key: "key-of-t1", Body: "text", Deadline: 12 * time.Second, Header: []string{"Model: m", "Token-Usage: 100,240", fmt.Sprintf("Prompt-Prefix: %08x:100", i)}}
		if i%2 == 1 {
			c.Path, c.Header = "/record/x", nil
		}
		router := s.routers[i%len(s.routers)].caller
		wg.Go(func() {
			r := s.do(router, c)
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, r)
		})
		time.Sleep(30 * time.Millisecond)
	}
	leaving := []string{"i-model-1", "i-plain-1"}
	if trouble {
		for _, id := range leaving {
			s.drain(id)
		}
		time.Sleep(leavesAfter)
		for _, id := range leaving {
			s.note("worker %s is killed", id)
			s.workers[id].signal(syscall.SIGKILL)
		}
	}
	wg.Wait()
	served := 0
	for _, r := range replies {
		n, whole := pieces(r, 1, unframedPieces)
		switch {
		case r.Err == nil && r.Status == 200 && !whole:
			broken = true
			began, ended := s.runs(r.ID)
			s.note("MIXED/ORDER: %s is complete for its client with %d of %d pieces; began at %v, ended at %v", r.ID, n, unframedPieces, began, ended)
		case r.Err == nil && r.Status == 200:
			served++
		}
	}
	s.note("%d of %d requests got their whole answer", served, len(replies))
	if served < len(replies)/3 {
		return false, fmt.Errorf("only %d of %d requests were served", served, len(replies))
	}
	return broken, nil
}

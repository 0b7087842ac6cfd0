package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// silentContact and silentDrain are contactMs and drainMs of the site.
	silentContact = 3 * time.Second
	silentDrain   = 2 * time.Second
	// silentMargin is added to both, for the clocks of this test.
	silentMargin = 50 * time.Millisecond
	// servesOn is how long the worker serves on after its entry went: drainMs and a little longer.
	servesOn       = 3400 * time.Millisecond
	silentClients  = 30
	silentPause    = 60 * time.Millisecond
	silentWorkTime = 400 * time.Millisecond
)

// silentConfig has one call of a plain service that may not be repeated.
const silentConfig = `{"version":7,"routes":[` +
	`{"name":"record","host":"archive.example","pathPrefix":"/record/","kind":"non_idempotent","timeoutMs":6000,"targetLatencyMs":4000,"priority":1,"service":"plain","maxAttempts":1,"public":false}],` +
	`"services":[{"name":"plain","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokens_per_s":300000},` +
	`"tenants":[{"name":"t1","apiKeys":["key-of-t1"],"priority":1}]}`

// silentCase has a worker leave without a word: its entry goes, it serves on for some seconds, and ends. At
// that moment the routers' open connections to the store go silent, while new ones work.
func silentCase(s *site, trouble bool) (broken bool, err error) {
	p, err := newProxy(s.address)
	if err != nil {
		return false, err
	}
	s.routersStore = p.address()
	zones := []string{"hall-a", "hall-b", "hall-c"}
	if err := s.addRouters(zones...); err != nil {
		return false, err
	}
	s.configure(silentConfig)
	for i, zone := range zones {
		o := workerOptions{ID: fmt.Sprintf("i-plain-%d", i+1), Service: "plain", Zone: zone, Slots: 64, Framing: length, JSON: true, Begin: silentWorkTime}
		if err := s.addWorker(o); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}

	var wg sync.WaitGroup
	var mu sync.Mutex
	served, failed := 0, 0
	replies := make(map[string]*reply)
	stop := make(chan struct{})
	for i := range silentClients {
		wg.Go(func() {
			c := &keptClient{site: s, router: s.routers[i%len(s.routers)].caller}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(silentPause):
				}
				r, _, _, err := c.send(http.MethodPost, fmt.Sprintf("/record/%d-%d", i, n))
				mu.Lock()
				replies[r.ID] = r
				if err == nil && r.Err == nil && r.Status == http.StatusOK {
					served++
				} else {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	// The routers run undisturbed for longer than contactMs.
	time.Sleep(6 * time.Second)
	const leaving = "i-plain-2"
	at := time.Now()
	if trouble {
		s.note("%d open connections of the routers to the store go silent", p.silence())
	}
	s.leave(leaving)
	gone := time.Now()
	time.Sleep(servesOn)
	s.note("worker %s ends", leaving)
	s.workers[leaving].signal(syscall.SIGKILL)
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()

	// Only machines in touch are judged, that is, from contactMs after the disruption on.
	judged := gone.Add(silentDrain + silentMargin)
	if inTouch := at.Add(silentContact + silentMargin); trouble && inTouch.After(judged) {
		judged = inTouch
	}
	var late []time.Duration
	lost := 0
	for _, e := range s.begunAt(leaving) {
		if e.at.After(judged) {
			late = append(late, e.at.Sub(gone))
			s.note("DRAIN: request %s reached worker %s %d ms after the store took that it is gone", e.ID, leaving, e.at.Sub(gone).Milliseconds())
			if r := replies[e.ID]; r != nil && r.Status != http.StatusOK {
				lost++
				s.note("lost: %s began there, and its client got %s", e.ID, r)
			}
		}
	}
	s.note("%d requests served, %d not; %d reached the worker later than drainMs after its entry went, sent on by machines in touch, and %d of these were lost when it ended", served, failed, len(late), lost)
	if len(late) > 0 {
		s.note("the last of them %d ms after it", slices.Max(late).Milliseconds())
	}
	if served < 10*failed {
		return false, fmt.Errorf("only %d requests were served, %d not", served, failed)
	}
	return len(late) > 0, nil
}

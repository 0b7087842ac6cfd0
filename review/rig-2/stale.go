package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// configApply is the sheet's configApplyMs.
	configApply = 2 * time.Second
	// killAfter is when a router is killed after a change was acknowledged; the bench's after_ack_kill strikes
	// 5 to 400 ms after the change was sent.
	killAfter = 170 * time.Millisecond
	// darkFor is how long that router stays away.
	darkFor = 3 * time.Second
	// watched is how long requests are sent after the change. The cut, which began before it, is shorter than
	// 5.5 s.
	watched = 5 * time.Second
	// dropped is the key that is taken away.
	dropped = "k7b2ex5wa5xwyhks8nbk"
)

// withKeys is a configuration with the given keys of one tenant.
func withKeys(version int, keys ...string) map[string]any {
	c := config(version)
	c["tenants"] = []any{map[string]any{"name": "hule930", "apiKeys": keys, "priority": 1}}
	return c
}

// stale has ten routers, the last of which follows the store through another router of its zone. That one is
// cut off from the store, a key is taken away, and the first router of the fleet is killed right after it.
// The requests go to the router that is left alone.
func stale(f *fleet) (bool, error) {
	serve := func(_ *worker, c net.Conn, r *http.Request, _ []byte) bool { return whole(c, r, []byte("an entry")) }
	for i, z := range zones {
		if _, err := f.startWorker(fmt.Sprintf("i-%08x", 0x51000000+i), "app", z, serve); err != nil {
			return false, err
		}
	}
	f.store.put("op", "config", withKeys(1, key, dropped))
	cut, err := newProxy(f.store.addr)
	if err != nil {
		return false, err
	}
	f.storeOf["front-hall-c-1"] = cut.addr
	for n := range 9 {
		if _, err := f.startRouter(n); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	alone, err := f.addRouter("hall-c", 4, false)
	if err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	f.record.add("router %s was added; nothing is done to it or to the store from now on", alone.name)
	time.Sleep(13 * time.Second)
	f.store.put("op", "config", withKeys(2, key, dropped))
	f.record.add("version 2 is acknowledged")
	time.Sleep(400 * time.Millisecond)
	if trouble() {
		cut.cut.Store(true)
		f.record.add("router front-hall-c-1 is cut off from the store")
	}
	time.Sleep(200 * time.Millisecond)
	f.store.put("op", "config", withKeys(3, key))
	acked := time.Now()
	f.record.add("version 3, which takes a key away, is acknowledged")
	var g sync.WaitGroup
	if trouble() {
		g.Go(func() {
			time.Sleep(time.Until(acked.Add(killAfter)))
			first := f.routers[0]
			f.signal(first, syscall.SIGKILL)
			time.Sleep(darkFor)
			<-first.ended
			if err := f.launch(first, false); err != nil {
				f.record.add("router %s did not start again: %v", first.name, err)
			}
		})
	}
	var late count
	for i := range 4 {
		g.Go(func() { f.probe(i, alone, acked, &late) })
	}
	g.Wait()
	f.record.add("%d requests ran with the key too late", late.get())
	return late.get() > 0, nil
}

// probe sends requests with the key that is taken away, one after the other on one connection.
func (f *fleet) probe(number int, r *router, acked time.Time, late *count) {
	c, err := dial(r.front)
	if err != nil {
		f.record.add("client %d: %v", number, err)
		return
	}
	defer c.Close() //nolint:errcheck // the answers are known
	in := bufio.NewReader(c)
	for n := 0; time.Since(acked) < watched; n++ {
		id := fmt.Sprintf("k%d-%04d", number, n)
		sent := time.Now()
		c.SetDeadline(sent.Add(2 * time.Second)) //nolint:errcheck // the exchange fails then
		if err := sendKey(c, http.MethodGet, "/lookup/a", id, "", dropped, time.Second); err != nil {
			f.record.add("client %s: %v", id, err)
			return
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			f.record.add("client %s: %v", id, err)
			return
		}
		resp.Body.Close() //nolint:errcheck // a short one
		age, ran := sent.Sub(acked), f.began(id) > 0
		f.record.add("request %s, sent %.3f s after the acknowledgement: %s, run %t", id, age.Seconds(), resp.Status, ran)
		if ran && age > configApply {
			late.add()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

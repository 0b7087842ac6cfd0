package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// limits has the operator raise the limits of what clients may send. Clients then send what is allowed.
func limits(f *fleet) (bool, error) {
	const (
		header   = 32 << 10
		body     = 16 << 20
		requests = 40
	)
	serve := func(_ *worker, c net.Conn, r *http.Request, text []byte) bool {
		return whole(c, r, fmt.Appendf(nil, "%d bytes", len(text)))
	}
	for i, z := range zones {
		if _, err := f.startWorker(fmt.Sprintf("i-%08x", 0x51000000+i), "app", z, serve); err != nil {
			return false, err
		}
	}
	f.store.put("op", "config", config(1))
	for n := range 3 {
		if _, err := f.startRouter(n); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	size, pad := 3<<20, 12000
	if trouble() {
		c := config(2)
		c["limits"].(map[string]any)["maxHeaderBytes"] = header
		c["limits"].(map[string]any)["maxBodyBytes"] = body
		f.store.put("op", "config", c)
		f.record.add("version 2 is acknowledged: headers of %d and bodies of %d bytes are allowed", header, body)
		size, pad = 12<<20, 24000
	}
	time.Sleep(8 * time.Second)
	denied := 0
	for i := range requests {
		id := fmt.Sprintf("l%04d", i)
		c, err := dial(f.routers[i%3].front)
		if err != nil {
			return false, err
		}
		c.SetDeadline(time.Now().Add(12 * time.Second)) //nolint:errcheck // the exchange fails then
		var what string
		if i%2 == 0 {
			what = fmt.Sprintf("a body of %d bytes", size)
			go send(c, http.MethodPost, "/record/a", id, strings.Repeat("x", size), 10*time.Second) //nolint:errcheck // the answer tells
		} else {
			what = fmt.Sprintf("a header of %d bytes", pad+200)
			go fmt.Fprintf(c, "GET /lookup/a HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: 10000\r\nAuthorization: Bearer %s\r\nNote: %s\r\n\r\n", host, id, key, strings.Repeat("x", pad)) //nolint:errcheck // the answer tells
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		status := 0
		if err == nil {
			status = resp.StatusCode
		}
		c.Close() //nolint:errcheck // the answer is known
		f.record.add("client sent %s with %s: status %d, %v; run %d times", id, what, status, err, f.began(id))
		if status >= 300 && status < 500 && status != 408 && status != 421 && status != 429 {
			denied++
		}
	}
	f.record.add("%d of %d proper requests were denied", denied, requests)
	return denied > 5+requests/500, nil
}

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// framing is how a worker marks the end of its bodies.
type framing string

const (
	chunked  framing = "chunked"
	length   framing = "length"
	unframed framing = "unframed" // the end of the connection ends the body
)

// workerOptions describe a worker process. They are passed as JSON on the command line.
type workerOptions struct {
	ID, Service, Zone, Address string
	// Report is the address to which the worker reports its runs.
	Report  string
	Slots   int
	Framing framing
	// Pieces of a body are sent every Gap, the first one after Begin.
	Pieces int
	Begin  time.Duration
	Gap    time.Duration
	Stream bool
	// JSON has each body be one short JSON object, without pieces.
	JSON bool
}

// event is what a worker reports of a run.
type event struct {
	Worker, ID, What, Path string
	Body                   int
}

const (
	runBegan = "began"
	runEnded = "ended"
	// runCrashed is that of a run that crashes its worker.
	runCrashed = "crashed"
)

// runWorker serves requests until the process is killed. It behaves as the workers of PROTOCOL.md do.
func runWorker(text string) error {
	var o workerOptions
	if err := json.Unmarshal([]byte(text), &o); err != nil {
		return err
	}
	l, err := net.Listen("tcp", o.Address)
	if err != nil {
		return err
	}
	w := &workerServer{o: o, slots: make(chan struct{}, o.Slots)}
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go w.serve(c)
	}
}

type workerServer struct {
	o     workerOptions
	slots chan struct{}
}

func (w *workerServer) report(e event) {
	e.Worker = w.o.ID
	body, _ := json.Marshal(e)
	resp, err := http.Post("http://"+w.o.Report+"/report", "application/json", bytes.NewReader(body))
	if err == nil {
		resp.Body.Close()
	}
}

func (w *workerServer) serve(c net.Conn) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !w.answer(c, req, body) {
			return
		}
	}
}

// answer answers one request. It reports whether the connection stays open.
func (w *workerServer) answer(c net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get("Request-Id")
	switch {
	case req.URL.Path == "/health":
		return write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.o.ID))
	case req.URL.Path == "/-/report":
		report := fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":1,"waiting":0,"running":%d,"kvUsed":0,"kvTotal":100000,"handles":0}`, len(w.slots))
		return write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report))
	case req.Header.Get("Expect-Instance") != "" && req.Header.Get("Expect-Instance") != w.o.ID:
		return write(c, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.o.ID))
	case req.Header.Get("Kv-From") != "":
		return write(c, shed) // this worker holds no copies
	}
	if crashes(req.Header.Get("Prompt-Prefix")) {
		w.report(event{ID: id, What: runCrashed, Path: req.URL.RequestURI()})
		text := piece(id, 1, w.o.Pieces)
		write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", id, w.o.ID, id, len(text), text))
		os.Exit(1)
	}
	select {
	case w.slots <- struct{}{}:
	default:
		return write(c, shed)
	}
	defer func() { <-w.slots }()
	w.report(event{ID: id, What: runBegan, Path: req.URL.RequestURI(), Body: len(body)})
	if !w.respond(c, id, req) {
		return false
	}
	w.report(event{ID: id, What: runEnded})
	return w.o.Framing != unframed
}

// crashingPart is a part of a prompt that crashes each worker which begins to write an answer on it.
const crashingPart = "dead0001"

// crashes reports whether a part of a prompt, but the last, crashes workers.
func crashes(prefix string) bool {
	parts := strings.Split(prefix, ",")
	return slices.ContainsFunc(parts[:len(parts)-1], func(p string) bool { return strings.HasPrefix(p, crashingPart+":") })
}

const shed = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// piece returns the n-th piece of a body, from 1.
func piece(id string, n, of int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d of %d\n\n", n, id, n, of)
}

// jsonBody is the body of a response that is no stream.
func jsonBody(id string) string { return fmt.Sprintf(`{"entry":%q}`, id) }

// respond sends the head and the pieces of a response.
func (w *workerServer) respond(c net.Conn, id string, req *http.Request) bool {
	if w.o.JSON {
		time.Sleep(w.o.Begin)
		text := jsonBody(id)
		return write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s.%s\r\nVersions: 1\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", id, w.o.ID, id, len(text), text))
	}
	first := 1
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	var size int
	for n := first; n <= w.o.Pieces; n++ {
		size += len(piece(id, n, w.o.Pieces))
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s.%s\r\nVersions: 1\r\n", id, w.o.ID, id)
	if w.o.Stream {
		head += "Content-Type: text/event-stream\r\n"
	}
	switch w.o.Framing {
	case chunked:
		head += "Transfer-Encoding: chunked\r\n"
	case length:
		head += fmt.Sprintf("Content-Length: %d\r\n", size)
	}
	time.Sleep(w.o.Begin)
	if !write(c, head+"\r\n") {
		return false
	}
	for n := first; n <= w.o.Pieces; n++ {
		if n > first {
			time.Sleep(w.o.Gap)
		}
		text := piece(id, n, w.o.Pieces)
		if w.o.Framing == chunked {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if !write(c, text) {
			return false
		}
	}
	return w.o.Framing != chunked || write(c, "0\r\n\r\n")
}

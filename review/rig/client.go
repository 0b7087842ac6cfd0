package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// call is one request of a client.
type call struct {
	Method, Path, Key string
	Body              string
	Deadline          time.Duration
	// Header holds further header lines.
	Header []string
}

// reply is what a client got. Err is set unless the response is complete by its framing.
type reply struct {
	ID     string
	Status int
	Seal   string
	Body   []byte
	Err    error
	Header http.Header
}

func (r *reply) String() string {
	return fmt.Sprintf("status %d, seal %q, %d bytes, complete %t (%v)", r.Status, r.Seal, len(r.Body), r.Err == nil, r.Err)
}

const clientHost = "archive.example"

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("%016x", 0x5a00000000000000+lastID.Add(1)) }

// do sends a request on a new connection to a router and reads the response.
func (s *site) do(router string, c call) *reply {
	r := &reply{ID: newID()}
	s.note("client: %s %s %s to %s", r.ID, c.Method, c.Path, router)
	conn, err := net.DialTimeout("tcp", router, time.Second)
	if err != nil {
		r.Err = err
		return r
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(c.Deadline + 2*time.Second))
	r.Err = exchange(conn, bufio.NewReader(conn), c, r)
	s.note("client: %s got %s", r.ID, r)
	return r
}

// exchange sends a request on a connection and reads its response.
func exchange(conn net.Conn, br *bufio.Reader, c call, r *reply) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\n", c.Method, c.Path, clientHost, r.ID, c.Deadline.Milliseconds())
	if c.Key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", c.Key)
	}
	for _, line := range c.Header {
		b.WriteString(line + "\r\n")
	}
	if c.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.Body))
	}
	b.WriteString("\r\n" + c.Body)
	if _, err := conn.Write(b.Bytes()); err != nil {
		return err
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: c.Method})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	r.Status, r.Seal, r.Header = resp.StatusCode, resp.Header.Get("Response-Seal"), resp.Header
	r.Body, err = io.ReadAll(resp.Body)
	return err
}

// keptClient sends its requests one after the other on one kept connection, and opens a new one only if
// that was closed.
type keptClient struct {
	site   *site
	router string
	conn   net.Conn
	reader *bufio.Reader
	// used is the number of responses on the connection.
	used int
}

func (c *keptClient) send(method, path string) (r *reply, kept bool, took time.Duration, err error) {
	r = &reply{ID: newID()}
	if c.conn == nil {
		if c.conn, err = net.DialTimeout("tcp", c.router, time.Second); err != nil {
			return r, false, 0, err
		}
		c.reader, c.used = bufio.NewReader(c.conn), 0
	}
	kept = c.used > 0
	c.site.note("client: %s %s %s to %s on a connection with %d responses so far", r.ID, method, path, c.router, c.used)
	began := time.Now()
	c.conn.SetDeadline(began.Add(10 * time.Second))
	r.Err = exchange(c.conn, c.reader, call{Method: method, Path: path, Key: "key-of-t1", Deadline: 8 * time.Second}, r)
	took = time.Since(began)
	c.site.note("client: %s got %s after %d ms", r.ID, r, took.Milliseconds())
	c.used++
	if r.Err != nil || r.Header.Get("Connection") == "close" {
		c.conn.Close()
		c.conn = nil
	}
	return r, kept, took, nil
}

// pieces returns the number of pieces in a body, and whether they are those from first to last in order.
func pieces(r *reply, first, last int) (n int, whole bool) {
	var want strings.Builder
	for i := first; i <= last; i++ {
		want.WriteString(piece(r.ID, i, last))
	}
	return strings.Count(string(r.Body), "\n\n"), string(r.Body) == want.String()
}

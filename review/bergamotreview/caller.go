package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// outcome is what a caller has seen of a request.
type outcome struct {
	id     string
	sent   time.Time // last byte of the request
	ended  time.Time
	status int    // 0 if the connection closed without a complete answer
	err    string // empty for a complete answer
	served bool   // complete, with success, the runner's signature and the answer to this request
}

// callers sends requests and collects their outcomes.
type callers struct {
	bench   *bench
	address string
	timeout time.Duration

	wait     sync.WaitGroup
	mu       sync.Mutex
	outcomes []outcome
}

// send sends a request on a new connection in the background.
func (c *callers) send(id, method, target string) {
	c.wait.Go(func() {
		o := c.exchange(id, method, target)
		c.bench.log("caller: %s %s sent %.3f s before its end, status %d %s", id, target, o.ended.Sub(o.sent).Seconds(), o.status, o.err)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.outcomes = append(c.outcomes, o)
	})
}

// exchange sends one request as written and reads its answer.
func (c *callers) exchange(id, method, target string) (o outcome) {
	o.id, o.sent = id, time.Now()
	defer func() { o.ended = time.Now() }()
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		o.err = "no connection"
		return o
	}
	defer func() { _ = conn.Close() }() // the connection is not used again
	// The time limit is that of the caller; a connection that it closes is not lost by the entry.
	_ = conn.SetDeadline(time.Now().Add(c.timeout))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Bergamotspur-Attempt-Id: %s\r\nX-Bergamotspur-Deadline-Ms: %d\r\n"+
		"Authorization: Token %s\r\nContent-Length: 2\r\n\r\n{}", method, target, hostName, id, c.timeout.Milliseconds(), apiKey)
	o.sent = time.Now()
	if err != nil {
		o.err = "the request could not be sent"
		return o
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		o.err = "closed without an answer: " + err.Error()
		return o
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		o.err = "the answer breaks off: " + err.Error()
		return o
	}
	o.status = resp.StatusCode
	o.served = o.status == http.StatusOK && resp.Header.Get("X-Bergamotspur-Server-Stamp") != "" && string(body) == fmt.Sprintf("{\"done\":%q}", id)
	return o
}

// all waits for all requests and returns their outcomes.
func (c *callers) all() []outcome {
	c.wait.Wait()
	return c.outcomes
}

// await returns when a request is served.
func (c *callers) await(id, method, target string) error {
	for n := range 50 {
		if o := c.exchange(fmt.Sprintf("%s-%d", id, n), method, target); o.served {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("no request to %s is served", target)
}

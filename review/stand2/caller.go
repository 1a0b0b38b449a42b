package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// outcome is what a caller has seen of one request.
type outcome struct {
	id     string
	status int
	stamp  string
	pieces []int  // numbers of the events of a stream, in their order
	body   string // of another answer
	err    error  // nil for an answer that is complete for the caller
}

// caller sends requests over a connection that it keeps.
type caller struct {
	client *http.Client
	front  string
}

func newCaller(front string) *caller {
	return &caller{front: front, client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}}
}

var requests atomic.Int64 // of all callers, for their ids

// send sends a request and reads its answer. Nothing is sent twice.
func (c *caller) send(path string, deadline time.Duration) outcome {
	return c.sendAfter(path, deadline, -1)
}

// sendAfter is send for a stream that goes on after an event that the caller has, -1 for none.
func (c *caller) sendAfter(path string, deadline time.Duration, last int) outcome {
	o := outcome{id: fmt.Sprintf("%016x", time.Now().UnixNano()+requests.Add(1))}
	req, err := http.NewRequest(http.MethodPost, "http://"+c.front+path, struct{ io.Reader }{strings.NewReader("which oil for beech?")})
	if err != nil {
		o.err = err
		return o
	}
	req.Host, req.ContentLength = "boards.example", 20
	req.Header.Set("X-Bergamotspur-Attempt-Id", o.id)
	req.Header.Set("X-Bergamotspur-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Token key-1")
	if strings.HasPrefix(path, "/advice/") {
		req.Header.Set("X-Bergamotspur-Model", "m")
		req.Header.Set("X-Bergamotspur-Token-Count", "100,60")
		req.Header.Set("X-Bergamotspur-Prompt-Prefix", "5c1e07a2:40,"+o.id+":60")
	}
	if last >= 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(last))
	}
	resp, err := c.client.Do(req)
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = resp.Body.Close() }() // it has been read
	o.status, o.stamp = resp.StatusCode, resp.Header.Get("X-Bergamotspur-Server-Stamp")
	if resp.StatusCode != http.StatusOK || !strings.HasPrefix(path, "/advice/") {
		body, err := io.ReadAll(resp.Body)
		o.body, o.err = string(body), err
		return o
	}
	for in := bufio.NewReader(resp.Body); ; {
		line, err := in.ReadString('\n')
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			n, convErr := strconv.Atoi(strings.TrimSpace(text))
			if convErr != nil {
				o.err = convErr
				return o
			}
			o.pieces = append(o.pieces, n)
		}
		if errors.Is(err, io.EOF) {
			return o
		}
		if err != nil {
			o.err = err
			return o
		}
	}
}

// isShort reports whether the caller takes a stream for complete that lacks events, or has some twice or in another order.
func (o outcome) isShort() bool {
	if o.status != http.StatusOK || o.err != nil {
		return false
	}
	for n, piece := range o.pieces {
		if n != piece {
			return true
		}
	}
	return len(o.pieces) != pieces
}

package bergamottunnel_test

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bergamotspur/core/bergamotaccount"
	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotdetour"
	"bergamotspur/io/bergamottunnel"
)

// eventBytes is the size of an event of a stream.
const eventBytes = 200

// benchDialers returns a dialer that connects directly and one that goes over a helper in the same process.
func benchDialers(b *testing.B) map[string]*bergamottunnel.Dialer {
	account := &bergamotaccount.Account{Max: 1 << 30, Clock: bergamotclock.Real{}}
	server := httptest.NewServer(&bergamottunnel.Handler{
		Dial: (&net.Dialer{}).DialContext, Lender: lender(bergamotdetour.AnswerConnected), Links: newLinks(), Account: account,
	})
	b.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	h := &helpers{list: []bergamotdetour.Helper{bergamotdetour.NewHelper(address, address, "a")}}
	ignore := func(bergamotdetour.Helper, string, bergamotdetour.Answer, time.Duration) {}
	return map[string]*bergamottunnel.Dialer{
		"direct": {Direct: (&net.Dialer{}).DialContext, Links: newLinks(), Helpers: h, OnAnswer: ignore},
		"helper": {Direct: refuse, Links: lose(newLinks()), Helpers: h, OnAnswer: ignore},
	}
}

// benchRunner serves each connection with serve until the benchmark ends, and returns its address.
func benchRunner(b *testing.B, serve func(c net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() }) // ends the accepting goroutine
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// BenchmarkDial measures a new connection with one byte in each direction.
func BenchmarkDial(b *testing.B) {
	runner := benchRunner(b, func(c net.Conn) {
		_, _ = io.CopyN(c, c, 1) // the dialer has gone otherwise
		_ = c.Close()
	})
	for name, d := range benchDialers(b) {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				c, err := d.Dial(context.Background(), "tcp", runner)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = c.Write([]byte{1})
				if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
					b.Fatal(err)
				}
				_ = c.Close()
			}
		})
	}
}

// BenchmarkEvent measures an event of a stream that goes and comes back.
func BenchmarkEvent(b *testing.B) {
	runner := benchRunner(b, func(c net.Conn) {
		_, _ = io.CopyBuffer(struct{ io.Writer }{c}, struct{ io.Reader }{c}, make([]byte, eventBytes)) // until the dialer closes it
		_ = c.Close()
	})
	for name, d := range benchDialers(b) {
		b.Run(name, func(b *testing.B) {
			c, err := d.Dial(context.Background(), "tcp", runner)
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			event := make([]byte, eventBytes)
			for b.Loop() {
				if _, err := c.Write(event); err != nil {
					b.Fatal(err)
				}
				if _, err := io.ReadFull(c, event); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

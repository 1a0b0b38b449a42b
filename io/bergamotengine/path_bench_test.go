package bergamotengine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"testing"

	"bergamotspur/core/bergamotroute"
	"bergamotspur/core/bergamotsession"
)

// The benchmarks compare the cost of one token for an entry that relays the hidden state between the stages with the
// cost when the stages forward to each other and the entry only receives the token.

const (
	benchStages = 4
	benchWidth  = 8192 // bytes of the hidden state of one token
)

// BenchmarkRelayedToken reads the hidden state from one stage and writes it to the next over loopback
// connections, once for each hop. A relay cannot do less than that.
func BenchmarkRelayedToken(b *testing.B) {
	in, out := newLoopback(b), newLoopback(b)
	hidden := make([]byte, benchWidth)
	errs := make(chan error, 2)
	go func() { errs <- writeRepeatedly(in.remote, hidden) }()
	go func() {
		_, err := io.Copy(io.Discard, out.remote)
		errs <- err
	}()
	b.ReportAllocs()
	for b.Loop() {
		for range benchStages - 1 {
			if _, err := io.ReadFull(in.local, hidden); err != nil {
				b.Fatal(err)
			}
			if _, err := out.local.Write(hidden); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(2*(benchStages-1)*benchWidth, "wire-B/token")
	b.StopTimer()
	in.close()
	out.close()
	<-errs
	<-errs
}

// BenchmarkPlannedToken reads a token line over a loopback connection, decodes it and checks its proof.
func BenchmarkPlannedToken(b *testing.B) {
	stages := make([]bergamotroute.Stage, benchStages)
	for n := range stages {
		stages[n] = bergamotroute.NewStage("i", "127.0.0.1:1", n*8, n*8+8)
	}
	plan := bergamotroute.NewPlan(stages...)
	v := bergamotsession.NewVerifier("entry-session", 1, 0, plan)
	line := tokenLine(b, plan, TokenMessage{Session: "entry-session", Attempt: 1, Token: 17, Text: "linseed "})
	conn := newLoopback(b)
	errs := make(chan error, 1)
	go func() { errs <- writeRepeatedly(conn.remote, line) }()
	d := json.NewDecoder(bufio.NewReader(conn.local))
	b.ReportAllocs()
	for b.Loop() {
		var m TokenMessage
		if err := d.Decode(&m); err != nil {
			b.Fatal(err)
		}
		step := m.Step()
		if err := v.Check(step.Token(), step.Proof()); err != nil {
			b.Fatal(err)
		}
		v = bergamotsession.NewVerifier("entry-session", 1, 0, plan)
	}
	b.ReportMetric(float64(len(line)), "wire-B/token")
	b.StopTimer()
	conn.close()
	<-errs
}

// tokenLine returns the line that the last stage of a plan sends for a token, with receipts and digest.
func tokenLine(tb testing.TB, plan bergamotroute.Plan, m TokenMessage) []byte {
	digest := bergamotsession.FirstDigest(m.Session, m.Attempt, m.Position)
	for _, s := range plan.Stages() {
		m.Receipts = append(m.Receipts, ReceiptMessage{From: s.From(), To: s.To(), Steps: m.Position + 1})
		digest = bergamotsession.NextDigest(digest, bergamotsession.NewReceipt(s.From(), s.To(), m.Position+1))
	}
	m.Digest = bergamotsession.LastDigest(digest, m.Token)
	var buf bytes.Buffer
	if err := json.NewEncoder(&buf).Encode(m); err != nil {
		tb.Fatal(err)
	}
	return buf.Bytes()
}

// writeRepeatedly writes data until the connection is closed.
func writeRepeatedly(w io.Writer, data []byte) error {
	for {
		if _, err := w.Write(data); err != nil {
			return err
		}
	}
}

// loopback holds both ends of a TCP connection over loopback.
type loopback struct{ local, remote net.Conn }

func (c loopback) close() {
	_ = c.local.Close()
	_ = c.remote.Close()
}

func newLoopback(tb testing.TB) loopback {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			c = nil
		}
		accepted <- c
	}()
	local, err := net.Dial("tcp", l.Addr().String())
	remote := <-accepted
	if err = errors.Join(err, l.Close()); err != nil || remote == nil {
		tb.Fatal("no connection", err)
	}
	return loopback{local: local, remote: remote}
}

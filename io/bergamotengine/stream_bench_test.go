package bergamotengine

import (
	"bytes"
	"context"
	"io"
	"runtime"
	"testing"

	"bergamotspur/core/bergamotroute"
	"bergamotspur/core/bergamotsession"
)

// BenchmarkStream measures time, allocations and bytes for each token, from reading its line to checking its proof, for
// a path of four stages.
func BenchmarkStream(b *testing.B) {
	const length = 500
	data := benchmarkLines(b, length)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	tokens := 0
	for b.Loop() {
		v := bergamotsession.NewVerifier("session", 1, 0, benchmarkPlan())
		s := newStream(io.NopCloser(bytes.NewReader(data)), func() {})
		for range length {
			step, err := s.Next(context.Background())
			if err != nil {
				b.Fatal(err)
			}
			if err = v.Check(step.Token(), step.Proof()); err != nil {
				b.Fatal(err)
			}
			tokens++
		}
		if err := s.Close(); err != nil {
			b.Fatal(err)
		}
	}
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(tokens), "ns/token")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(tokens), "allocs/token")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(tokens), "B/token")
	b.ReportMetric(float64(len(data))/length, "wire-B/token")
}

func benchmarkPlan() bergamotroute.Plan {
	var stages []bergamotroute.Stage
	for n := range 4 {
		stages = append(stages, bergamotroute.NewStage("runner", "10.0.0.1:1", 3*n, 3*n+3))
	}
	return bergamotroute.NewPlan(stages...)
}

// benchmarkLines returns the token lines of an answer as an engine sends them.
func benchmarkLines(b *testing.B, length int) []byte {
	b.Helper()
	var out bytes.Buffer
	for position := range length {
		out.Write(tokenLine(b, benchmarkPlan(), TokenMessage{Session: "session", Attempt: 1, Position: position, Token: position, Text: "board "}))
	}
	return out.Bytes()
}

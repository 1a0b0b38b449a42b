package bergamotadmission

import (
	"math"
	"sync"
)

const (
	guess       = 128.0 // tokens expected of a pipeline that has answered nothing yet
	gain        = 0.1   // weight of a new length in the mean
	lengthsMost = 1 << 16
)

// Lengths learns how long answers are, by pipeline and workspace.
type Lengths struct {
	mu    sync.Mutex
	means map[lengthKey]float64
}

type lengthKey struct{ pipeline, workspace string }

// NewLengths returns an estimator without knowledge.
func NewLengths() *Lengths { return &Lengths{means: map[lengthKey]float64{}} }

// Expect returns the expected tokens of an answer, at most limit.
func (l *Lengths) Expect(pipeline, workspace string, limit int) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, ok := l.means[lengthKey{pipeline, workspace}]
	if !ok {
		if mean, ok = l.means[lengthKey{pipeline, ""}]; !ok {
			mean = guess
		}
	}
	return math.Max(1, math.Min(mean, float64(limit)))
}

// Typical returns the expected tokens of the pipeline over all workspaces.
func (l *Lengths) Typical(pipeline string) float64 { return l.Expect(pipeline, "", math.MaxInt) }

// Observe learns from a finished answer.
func (l *Lengths) Observe(pipeline, workspace string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range []lengthKey{{pipeline, workspace}, {pipeline, ""}} {
		mean, ok := l.means[k]
		if !ok {
			if len(l.means) >= lengthsMost {
				l.drop()
			}
			mean = float64(tokens)
		}
		l.means[k] = mean + gain*(float64(tokens)-mean)
	}
}

// drop removes one estimate of a workspace; the mean of its pipeline takes its place.
func (l *Lengths) drop() {
	for k := range l.means {
		if k.workspace != "" {
			delete(l.means, k)
			return
		}
	}
}

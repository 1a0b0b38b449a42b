package bergamotadmission

import (
	"math"
	"sync"
)

const (
	defaultLength   = 128.0   // expected tokens for a pipeline without finished answers
	newLengthWeight = 0.1     // weight of a new length in the moving mean
	maxMeans        = 1 << 16 // means kept for pipelines and workspaces
)

// Lengths estimates the length of answers in tokens, by pipeline and workspace.
type Lengths struct {
	mu    sync.Mutex
	means map[lengthKey]float64
}

type lengthKey struct{ pipeline, workspace string }

// NewLengths returns an estimator without observations.
func NewLengths() *Lengths { return &Lengths{means: map[lengthKey]float64{}} }

// Expect returns the expected tokens of an answer, from 1 up to limit.
func (l *Lengths) Expect(pipeline, workspace string, limit int) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, ok := l.means[lengthKey{pipeline, workspace}]
	if !ok {
		if mean, ok = l.means[lengthKey{pipeline, ""}]; !ok {
			mean = defaultLength
		}
	}
	return math.Max(1, math.Min(mean, float64(limit)))
}

// ExpectForPipeline returns the expected tokens of an answer of the pipeline, over all workspaces and without a limit.
func (l *Lengths) ExpectForPipeline(pipeline string) float64 {
	return l.Expect(pipeline, "", math.MaxInt)
}

// Observe updates the means with the length of a finished answer.
func (l *Lengths) Observe(pipeline, workspace string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range []lengthKey{{pipeline, workspace}, {pipeline, ""}} {
		mean, ok := l.means[k]
		if !ok {
			if len(l.means) >= maxMeans {
				l.dropWorkspaceMean()
			}
			mean = float64(tokens)
		}
		l.means[k] = mean + newLengthWeight*(float64(tokens)-mean)
	}
}

// dropWorkspaceMean drops the mean of any one workspace; the mean of its pipeline is used instead.
func (l *Lengths) dropWorkspaceMean() {
	for k := range l.means {
		if k.workspace != "" {
			delete(l.means, k)
			return
		}
	}
}

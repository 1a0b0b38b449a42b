package bergamotrelay

import (
	"sync"
	"time"

	"bergamotspur/core/bergamotsuspect"
)

const (
	// soundWindow is the shortest time for which a content counts as sound after a runner has answered a request with it.
	soundWindow = 10 * time.Second
	// maxSoundContents limits the contents of a window, which take about 100 bytes each.
	maxSoundContents = 4096
)

// soundContents holds the contents of requests that runners have answered lately. A runner that crashes breaks off sound
// requests too, and what was answered just before is not the cause. That holds for one crash, until a request with the
// content is answered again, since runners may begin to crash on a content, for instance with other weights.
type soundContents struct {
	mu    sync.Mutex
	began time.Time // of the current window
	// current and last hold the contents of the current window and the one before, each with the process that broke off a
	// request with it since, empty for none.
	current map[bergamotsuspect.Digest]string
	last    map[bergamotsuspect.Digest]string
}

// add records that a runner has begun to answer a request.
func (s *soundContents) add(contents []bergamotsuspect.Digest, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	for _, d := range contents {
		if _, known := s.current[d]; known || len(s.current) < maxSoundContents {
			s.current[d] = ""
		}
		if _, known := s.last[d]; known {
			s.last[d] = ""
		}
	}
}

// unsound returns the contents of a request that may be the cause of the crash of a process, the first of which is the whole
// request: none if that was answered.
func (s *soundContents) unsound(contents []bergamotsuspect.Digest, process string, now time.Time) (out []bergamotsuspect.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	for n, d := range contents {
		sound := exonerates(s.current, d, process) || exonerates(s.last, d, process)
		if n == 0 && sound {
			return nil
		}
		if !sound {
			out = append(out, d)
		}
	}
	return out
}

// exonerates reports whether a content was answered after any other crash that broke off a request with it.
func exonerates(sound map[bergamotsuspect.Digest]string, d bergamotsuspect.Digest, process string) bool {
	crashed, ok := sound[d]
	if !ok || crashed != "" && crashed != process {
		return false
	}
	sound[d] = process
	return true
}

// rotate begins a new window when the current one has ended.
func (s *soundContents) rotate(now time.Time) {
	if age := now.Sub(s.began); s.current == nil || age >= soundWindow {
		s.last = s.current
		if age >= 2*soundWindow {
			s.last = nil
		}
		s.current, s.began = map[bergamotsuspect.Digest]string{}, now
	}
}

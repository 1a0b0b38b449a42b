package bergamotsuspect

import (
	"slices"
	"time"
)

// Failure is a failure of an instance while a request ran on it.
type Failure struct {
	id        string
	contents  []Digest
	instance  string
	alone     bool
	unstarted bool
	age       time.Duration
}

// NewFailure returns a failure, age ago, of the instance that ran a request with the contents, of which there is at least
// one; any of them may be the cause. alone is true when no other request of the entry ran on the instance, or when the
// request ran as a suspect.
func NewFailure(contents []Digest, instance string, alone bool, age time.Duration) Failure {
	f := Failure{contents: contents, instance: instance, alone: alone, age: age}
	f.id = f.newID()
	return f
}

// NewUnstarted returns a failure of an instance that had not begun to answer the request, which may only have waited there.
func NewUnstarted(contents []Digest, instance string, alone bool, age time.Duration) Failure {
	f := Failure{contents: contents, instance: instance, alone: alone, unstarted: true, age: age}
	f.id = f.newID()
	return f
}

// NewCleared returns the failure with an ID, all contents of which have been cleared.
func NewCleared(id string) Failure { return Failure{id: id} }

// ID returns the key that all reports of the failure share, at most 60 bytes.
func (f Failure) ID() string { return f.id }

// Contents returns the contents that may be the cause; the caller must not change the slice. It is empty when requests
// with each of them have completed since.
func (f Failure) Contents() []Digest { return f.contents }

// Instance returns the name of the instance that failed.
func (f Failure) Instance() string { return f.instance }

// RanAlone reports whether no other request of the entry ran on the instance, or the request ran as a suspect.
func (f Failure) RanAlone() bool { return f.alone }

// IsUnstarted reports whether the instance had not begun to answer the request.
func (f Failure) IsUnstarted() bool { return f.unstarted }

// Age returns how long ago the instance failed.
func (f Failure) Age() time.Duration { return f.age }

// WithAge returns the failure as one that was d ago.
func (f Failure) WithAge(d time.Duration) Failure {
	f.age = d
	return f
}

// IsNarrowerThan reports whether contents of an earlier state of the failure have been cleared in f.
func (f Failure) IsNarrowerThan(earlier Failure) bool { return earlier.missing(f.contents) > 0 }

// without returns the failure without contents that are not the cause.
func (f Failure) without(cleared []Digest) Failure {
	f.contents = slices.DeleteFunc(slices.Clone(f.contents), func(d Digest) bool { return slices.Contains(cleared, d) })
	return f
}

// missing returns how many of the failure's contents a request lacks.
func (f Failure) missing(contents []Digest) (n int) {
	for _, d := range f.contents {
		if !slices.Contains(contents, d) {
			n++
		}
	}
	return n
}

// isSameRequest reports whether the other failure is of the same request, some contents of which may have been cleared. Two
// requests have at least one content each that the other lacks.
func (f Failure) isSameRequest(other Failure) bool {
	return f.missing(other.contents) == 0 || other.missing(f.contents) == 0
}

// common returns the contents that the request of another failure had too.
func (f Failure) common(other Failure) (out []Digest) {
	for _, d := range f.contents {
		if slices.Contains(other.contents, d) {
			out = append(out, d)
		}
	}
	return out
}

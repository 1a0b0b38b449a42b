package bergamotsuspect

import (
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// unstartedMark follows the first value in the data of a failure of an instance that had not begun to answer the request.
const unstartedMark = ",unstarted"

// contentsSeparator precedes the list of contents in the data of a failure that has not exactly the one in its key.
const contentsSeparator = "\n"

// newID returns the key of a failure: its first content, and a hash of all the rest.
func (f Failure) newID() string {
	return base64.RawURLEncoding.EncodeToString(f.contents[0][:]) + "." + strconv.FormatUint(xxhash.Sum64String(f.data(f.contents[0])), 36)
}

// data returns the values of a failure whose key has the content first.
func (f Failure) data(first Digest) string {
	text := strconv.FormatBool(f.alone)
	if f.unstarted {
		text += unstartedMark
	}
	text += " " + f.instance
	if len(f.contents) == 1 && f.contents[0] == first {
		return text
	}
	list := make([]string, len(f.contents))
	for i, d := range f.contents {
		list[i] = base64.RawURLEncoding.EncodeToString(d[:])
	}
	return text + contentsSeparator + strings.Join(list, ",")
}

// EncodeFailure returns the key and the data with which a failure is sent to other entries. The key does not depend on
// the age, so that all reports of a failure share it.
func EncodeFailure(f Failure) (key string, data []byte) {
	digest, _, _ := strings.Cut(f.id, ".")
	first, _ := decodeDigest(digest)
	return f.id, []byte(f.data(first))
}

// DecodeFailure returns a failure that happened age ago; ok is false when key or data are malformed.
func DecodeFailure(key string, data []byte, age time.Duration) (f Failure, ok bool) {
	digest, _, _ := strings.Cut(key, ".")
	first, ok := decodeDigest(digest)
	text, list, listed := strings.Cut(string(data), contentsSeparator)
	alone, instance, found := strings.Cut(text, " ")
	alone, unstarted := strings.CutSuffix(alone, unstartedMark)
	isAlone, err := strconv.ParseBool(alone)
	if !ok || err != nil || !found || instance == "" {
		return f, false
	}
	f = Failure{id: key, contents: []Digest{first}, instance: instance, alone: isAlone, unstarted: unstarted, age: age}
	if !listed {
		return f, true
	}
	f.contents = nil
	for text := range strings.SplitSeq(list, ",") {
		d, ok := decodeDigest(text)
		if !ok || len(f.contents) == maxContents {
			return f, false
		}
		f.contents = append(f.contents, d)
	}
	return f, true
}

func decodeDigest(text string) (d Digest, ok bool) {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) != len(d) {
		return d, false
	}
	return Digest(raw), true
}

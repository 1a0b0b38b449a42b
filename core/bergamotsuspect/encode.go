package bergamotsuspect

import (
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// EncodeFailure returns the key and the data with which a failure is sent to other entries. The key does not depend on
// the age, so that all reports of a failure share it, and has at most 60 bytes.
func EncodeFailure(d Digest, f Failure) (key string, data []byte) {
	data = append([]byte(strconv.FormatBool(f.alone)+" "), f.instance...)
	return base64.RawURLEncoding.EncodeToString(d[:]) + "." + strconv.FormatUint(xxhash.Sum64(data), 36), data
}

// DecodeFailure returns a record with one failure that happened age ago; ok is false when key or data are malformed.
func DecodeFailure(key string, data []byte, age time.Duration) (r Record, ok bool) {
	digest, _, _ := strings.Cut(key, ".")
	raw, err := base64.RawURLEncoding.DecodeString(digest)
	alone, instance, found := strings.Cut(string(data), " ")
	isAlone, parseErr := strconv.ParseBool(alone)
	if err != nil || parseErr != nil || !found || instance == "" || len(raw) != len(Digest{}) {
		return r, false
	}
	return NewRecord(Digest(raw), NewFailure(instance, isAlone, age)), true
}

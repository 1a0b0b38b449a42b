package bergamotsuspect

import (
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// EncodeStrike returns the key and the data under which other entries get a strike. The key is the same for each
// copy of the strike and has at most 60 bytes.
func EncodeStrike(d Digest, s Strike) (key string, data []byte) {
	data = append([]byte(strconv.FormatBool(s.alone)+" "), s.instance...)
	return base64.RawURLEncoding.EncodeToString(d[:]) + "." + strconv.FormatUint(xxhash.Sum64(data), 36), data
}

// DecodeStrike returns a record with the strike that happened age ago; ok is false when key or data are malformed.
func DecodeStrike(key string, data []byte, age time.Duration) (r Record, ok bool) {
	digest, _, _ := strings.Cut(key, ".")
	raw, err := base64.RawURLEncoding.DecodeString(digest)
	alone, instance, found := strings.Cut(string(data), " ")
	isAlone, parseErr := strconv.ParseBool(alone)
	if err != nil || parseErr != nil || !found || instance == "" || len(raw) != len(Digest{}) {
		return r, false
	}
	return NewRecord(Digest(raw), NewStrike(instance, isAlone, age)), true
}

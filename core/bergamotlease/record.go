package bergamotlease

import "encoding/json"

// record is the value of the lease's row.
type record struct {
	Holder       string `json:"holder"` // empty when released
	FencingToken int64  `json:"number"`
	WriteID      string `json:"stamp"`           // unique for each write, so that a write whose reply was lost is recognised
	ExpiresMS    int64  `json:"until,omitempty"` // latest end of the term in ms of the table's clock, 0 if unknown
	Era          int64  `json:"era,omitempty"`   // of the row that this write replaced, 0 if unknown
	Address      string `json:"at,omitempty"`    // at which other entries reach the holder; builds before the permits write none
}

// decodeRecord returns the record in the value of a row, or an empty one if the row does not exist.
func decodeRecord(value []byte) (r record, err error) {
	if len(value) == 0 {
		return record{}, nil
	}
	err = json.Unmarshal(value, &r)
	return r, err
}

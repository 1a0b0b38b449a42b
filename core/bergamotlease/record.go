package bergamotlease

import "encoding/json"

// record is the content of the lease's row.
type record struct {
	Holder string `json:"holder"` // empty when released
	Number int64  `json:"number"`
	Stamp  string `json:"stamp"`           // unique for each write, so that a write with a lost reply is recognised
	Until  int64  `json:"until,omitempty"` // end of the term in milliseconds of the table's clock at the latest, 0 when not known
}

func decode(value []byte) (r record, err error) {
	if len(value) == 0 {
		return record{}, nil
	}
	err = json.Unmarshal(value, &r)
	return r, err
}

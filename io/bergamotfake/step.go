package bergamotfake

import "bergamotspur/io/bergamotengine"

// StepMessage is what a stage hands on to the next one.
type StepMessage struct {
	Session  string                          `json:"session"`
	Attempt  int                             `json:"attempt"`
	Position int                             `json:"position"`
	Limit    int                             `json:"limit"`
	Offset   int                             `json:"offset"` // inputs of the sequence before the first one of the step
	Hidden   []uint64                        `json:"hidden"`
	Receipts []bergamotengine.ReceiptMessage `json:"receipts"`
	Digest   uint64                          `json:"digest,string"`
}

// NextMessage hands a generated token back to the first stage.
type NextMessage struct {
	Session  string `json:"session"`
	Attempt  int    `json:"attempt"`
	Position int    `json:"position"`
	Token    int    `json:"token"`
}

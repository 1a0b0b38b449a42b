package bergamotfake

import "bergamotspur/io/bergamotengine"

// A StepMessage carries the outputs of a stage to the next stage.
type StepMessage struct {
	Session  string                          `json:"session"`
	Attempt  int                             `json:"attempt"`
	Position int                             `json:"position"`
	Limit    int                             `json:"limit"`
	Offset   int                             `json:"offset"` // inputs of the sequence before the first input of the step
	Hidden   []uint64                        `json:"hidden"`
	Receipts []bergamotengine.ReceiptMessage `json:"receipts"`
	Digest   uint64                          `json:"digest,string"`
}

// A NextMessage returns a generated token to the first stage.
type NextMessage struct {
	Session  string `json:"session"`
	Attempt  int    `json:"attempt"`
	Position int    `json:"position"`
	Token    int    `json:"token"`
}

package bergamotengine

import (
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotsession"
)

// SpanMessage is the JSON form of a span, which runs the layers [From, To).
type SpanMessage struct {
	Session           string `json:"session"`
	Attempt           int    `json:"attempt"`
	Model             string `json:"model"`
	Version           string `json:"version"`
	Adapter           string `json:"adapter,omitempty"`
	From              int    `json:"from"`
	To                int    `json:"to"`
	Start             int    `json:"start"`          // position of the first token that the attempt generates
	FirstStageAddress string `json:"first"`          // receives each generated token
	NextStageAddress  string `json:"next,omitempty"` // empty for the last stage
	LastStageAddress  string `json:"last"`           // streams the tokens
}

// NewSpanMessage returns the JSON form of s.
func NewSpanMessage(s bergamotsession.Span) SpanMessage {
	return SpanMessage{
		Session: s.Session(), Attempt: s.Attempt(), Model: s.Model(), Version: s.Version(), Adapter: s.Adapter(),
		From: s.Stage().From(), To: s.Stage().To(), Start: s.Start(),
		FirstStageAddress: s.FirstAddress(), NextStageAddress: s.NextAddress(), LastStageAddress: s.LastAddress(),
	}
}

// StartMessage is the JSON form of the command that starts an attempt at the first stage.
type StartMessage struct {
	Session string `json:"session"`
	Attempt int    `json:"attempt"`
	Prompt  string `json:"prompt"`
	Tokens  []int  `json:"tokens,omitempty"` // tokens of the answer that were already generated
	Limit   int    `json:"limit"`            // maximum number of tokens in the whole answer
	Seed    uint64 `json:"seed"`
}

// ImportMessage is the JSON form of a command to fetch the KV cache of the layers [From, To) from another engine.
type ImportMessage struct {
	Session       string `json:"session"`
	Attempt       int    `json:"attempt"`
	Source        string `json:"source"` // address of the engine that has the KV cache
	SourceAttempt int    `json:"of"`     // attempt whose KV cache is fetched
	From          int    `json:"from"`
	To            int    `json:"to"`
	Position      int    `json:"position"` // number of tokens of the answer that the KV cache covers
}

// ProgressMessage is the JSON form of the progress of a span.
type ProgressMessage struct {
	Steps      int   `json:"steps"` // steps that the engine has run
	BatchAgeMs int64 `json:"batch"` // time in ms since the running batch began, 0 without one
}

// ReceiptMessage is the JSON form of the receipt of the stage with the layers [From, To) for a token.
type ReceiptMessage struct {
	From  int `json:"from"`
	To    int `json:"to"`
	Steps int `json:"steps"` // tokens that the stage has run in this attempt, including this one
}

// TokenMessage is one line of a token stream: a token, a heartbeat or a failure.
type TokenMessage struct {
	Beat     bool             `json:"beat,omitempty"`   // the line is a heartbeat
	Failure  string           `json:"fail,omitempty"`   // error text of a failed stage
	Target   string           `json:"target,omitempty"` // address of the failed stage
	Session  string           `json:"session,omitempty"`
	Attempt  int              `json:"attempt,omitempty"`
	Position int              `json:"position"`
	Token    int              `json:"token"`
	Text     string           `json:"text"`
	Last     bool             `json:"last,omitempty"` // the token is the last one of the answer
	Receipts []ReceiptMessage `json:"receipts,omitempty"`
	Digest   uint64           `json:"digest,string"` // chained hash of the proof and the token
}

// Step returns the token and proof of the message, or a heartbeat.
func (m TokenMessage) Step() bergamotsession.Step {
	if m.Beat {
		return bergamotsession.NewHeartbeat()
	}
	receipts := make([]bergamotsession.Receipt, len(m.Receipts))
	for n, r := range m.Receipts {
		receipts[n] = bergamotsession.NewReceipt(r.From, r.To, r.Steps)
	}
	return bergamotsession.NewStep(
		bergamotrequest.NewToken(m.Position, m.Token, m.Text, m.Last),
		bergamotsession.NewProof(m.Session, m.Attempt, m.Position, receipts, m.Digest),
	)
}

// HoldingMessage is the JSON form of the layers [From, To) that an engine holds, with their adapters.
type HoldingMessage struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	From     int      `json:"from"`
	To       int      `json:"to"`
	Adapters []string `json:"adapters,omitempty"`
}

// OrderMessage is the JSON form of a command with the complete list of the layers and adapters to hold.
type OrderMessage struct {
	FencingToken int64            `json:"number"`
	Holdings     []HoldingMessage `json:"holdings"`
}

// ReportMessage is the JSON form of an engine's report, the reply to /load.
type ReportMessage struct {
	Running  int              `json:"running"`
	Queued   int              `json:"queued"`
	Leaving  bool             `json:"leaving"`
	Holdings []HoldingMessage `json:"holdings"`
}

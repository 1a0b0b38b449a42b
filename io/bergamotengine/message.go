package bergamotengine

import (
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotsession"
)

// SpanMessage is the JSON form of a span.
type SpanMessage struct {
	Session string `json:"session"`
	Attempt int    `json:"attempt"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
	From    int    `json:"from"`
	To      int    `json:"to"`
	Start   int    `json:"start"`
	First   string `json:"first"`
	Next    string `json:"next,omitempty"`
	Last    string `json:"last"`
}

// NewSpanMessage returns the JSON form of s.
func NewSpanMessage(s bergamotsession.Span) SpanMessage {
	return SpanMessage{
		Session: s.Session(), Attempt: s.Attempt(), Model: s.Model(), Version: s.Version(), Adapter: s.Adapter(),
		From: s.Stage().From(), To: s.Stage().To(), Start: s.Start(),
		First: s.FirstAddress(), Next: s.NextAddress(), Last: s.LastAddress(),
	}
}

// StartMessage is the JSON form of the start of an attempt.
type StartMessage struct {
	Session string `json:"session"`
	Attempt int    `json:"attempt"`
	Prompt  string `json:"prompt"`
	Tokens  []int  `json:"tokens,omitempty"`
	Limit   int    `json:"limit"`
	Seed    uint64 `json:"seed"`
}

// ImportMessage is the JSON form of an import; position counts the tokens of the answer that are covered.
type ImportMessage struct {
	Session  string `json:"session"`
	Attempt  int    `json:"attempt"`
	Source   string `json:"source"`
	Of       int    `json:"of"`
	From     int    `json:"from"`
	To       int    `json:"to"`
	Position int    `json:"position"`
}

// ProgressMessage is the JSON form of the progress of a span; batch is the age of the running batch in ms.
type ProgressMessage struct {
	Steps int   `json:"steps"`
	Batch int64 `json:"batch"`
}

// ReceiptMessage is the JSON form of a receipt.
type ReceiptMessage struct {
	From  int `json:"from"`
	To    int `json:"to"`
	Steps int `json:"steps"`
}

// TokenMessage is one line of a token stream: a token, a heartbeat or a failure.
type TokenMessage struct {
	Beat     bool             `json:"beat,omitempty"`
	Fail     string           `json:"fail,omitempty"`
	Target   string           `json:"target,omitempty"`
	Session  string           `json:"session,omitempty"`
	Attempt  int              `json:"attempt,omitempty"`
	Position int              `json:"position"`
	Token    int              `json:"token"`
	Text     string           `json:"text"`
	Last     bool             `json:"last,omitempty"`
	Receipts []ReceiptMessage `json:"receipts,omitempty"`
	Digest   uint64           `json:"digest,string"`
}

// Step returns the step that the message stands for.
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

// HoldingMessage is the JSON form of a holding.
type HoldingMessage struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	From     int      `json:"from"`
	To       int      `json:"to"`
	Adapters []string `json:"adapters,omitempty"`
}

// OrderMessage is the JSON form of a command that tells an engine all that it should hold.
type OrderMessage struct {
	Number   int64            `json:"number"`
	Holdings []HoldingMessage `json:"holdings"`
}

// LoadMessage is the JSON form of an engine's report.
type LoadMessage struct {
	Running  int              `json:"running"`
	Queued   int              `json:"queued"`
	Leaving  bool             `json:"leaving"`
	Holdings []HoldingMessage `json:"holdings"`
}

package bergamotpeer

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// methodBundle is the JSON-RPC method that asks for a bundle text; protocolText is its application protocol in TLS.
// A text has a connection of its own, since on the one of the heartbeats it would delay them.
const (
	methodBundle = "bundle"
	protocolText = "text"
)

// Bounds of a text. The packed text of 11,000 workspaces has 425,884 bytes. Each entry that took a text gives it to
// others, so that the rate of one entry does not limit how fast all have it.
const (
	MaxText     = 2 << 20
	maxTextJSON = MaxText/3*4 + 512
	TextTimeout = 8 * time.Second // longest time of one text, so that a slow reader does not hold a slot
	textRate    = 1               // texts a second to all peers
	textBurst   = 8
	maxTexts    = 2 // texts at the same time
)

// Codes of an error reply.
const (
	codeInvalid = jsonrpc2.CodeInvalidRequest
	codeMissing = -32001
	codeBusy    = -32002
)

// Texts gives the object of a bundle text by its name, or an error when this entry does not have it in force.
type Texts interface {
	Text(name string) ([]byte, error)
}

// ask is the parameter of the method bundle.
type ask struct {
	Name string `json:"name"`
}

// text is its result.
type text struct {
	Data []byte `json:"data"`
}

// textHandler answers the one request of a connection for a text and closes it.
type textHandler struct{ server *Server }

// Handle answers one request.
func (g *textHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	defer func() { _ = conn.Close() }() // it may be closed already
	ctx, cancel := context.WithTimeout(ctx, TextTimeout)
	defer cancel()
	data, err := g.answer(req)
	var failure *jsonrpc2.Error
	switch {
	case err == nil:
		defer func() { <-g.server.sending }()
		g.server.Counter.Count("peer.texts")
		err = conn.Reply(ctx, req.ID, text{Data: data})
	case errors.As(err, &failure) && !req.Notif:
		err = conn.ReplyWithError(ctx, req.ID, failure)
	}
	if err != nil {
		g.server.Counter.Count("peer.refused")
	}
}

// answer returns the text and takes a slot, which the caller gives back.
func (g *textHandler) answer(req *jsonrpc2.Request) (data []byte, err error) {
	var in ask
	if req.Method != methodBundle || req.Notif || req.Params == nil || json.Unmarshal(*req.Params, &in) != nil {
		g.server.Counter.Count("peer.message")
		return nil, &jsonrpc2.Error{Code: codeInvalid, Message: "unexpected request"}
	}
	if g.server.Texts == nil {
		return nil, &jsonrpc2.Error{Code: codeMissing, Message: "no texts"}
	}
	select {
	case g.server.sending <- struct{}{}:
	default:
		g.server.Counter.Count("peer.textbusy")
		return nil, &jsonrpc2.Error{Code: codeBusy, Message: "busy"}
	}
	defer func() {
		if err != nil {
			<-g.server.sending
		}
	}()
	if !g.server.texts.Allow() {
		g.server.Counter.Count("peer.textbusy")
		return nil, &jsonrpc2.Error{Code: codeBusy, Message: "busy"}
	}
	if data, err = g.server.Texts.Text(in.Name); err != nil || len(data) > MaxText {
		return nil, &jsonrpc2.Error{Code: codeMissing, Message: "not in force here, or too large"}
	}
	return data, nil
}

package bergamotpeer

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// methodBundle is the JSON-RPC method that requests a bundle text; protocolText is the ALPN protocol of its connection.
// Texts have separate connections, since they would delay the heartbeats.
const (
	methodBundle = "bundle"
	protocolText = "text"
)

// Limits of bundle texts. The compressed text of a bundle with 11,000 workspaces has 425,884 bytes. Each entry that has
// fetched a text serves it to others, so the rate of one entry does not limit how fast a text spreads.
const (
	MaxTextBytes       = 2 << 20
	maxTextFrameBytes  = MaxTextBytes/3*4 + 512
	TextTimeout        = 8 * time.Second // limit for one text, so that a slow reader does not hold a slot
	textRate           = 1               // texts per second to all peers
	textBurst          = 8
	maxConcurrentTexts = 2 // sent at the same time
)

// JSON-RPC error codes of a request for a text.
const (
	codeInvalid = jsonrpc2.CodeInvalidRequest
	codeMissing = -32001
	codeBusy    = -32002
)

// Texts returns the object of a bundle text by its name, or an error if this entry does not have that text in force.
type Texts interface {
	Text(name string) ([]byte, error)
}

// textRequest is the parameter of methodBundle.
type textRequest struct {
	Name string `json:"name"`
}

// textReply is the result of methodBundle.
type textReply struct {
	Data []byte `json:"data"`
}

// textHandler answers the single request of a text connection and closes it.
type textHandler struct{ server *Server }

// Handle answers the request.
func (h *textHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	defer func() { _ = conn.Close() }() // it may be closed already
	ctx, cancel := context.WithTimeout(ctx, TextTimeout)
	defer cancel()
	data, err := h.answer(req)
	var failure *jsonrpc2.Error
	switch {
	case err == nil:
		defer func() { <-h.server.textSlots }()
		h.server.Counter.Count("peer.texts")
		err = conn.Reply(ctx, req.ID, textReply{Data: data})
	case errors.As(err, &failure) && !req.Notif:
		err = conn.ReplyWithError(ctx, req.ID, failure)
	}
	if err != nil {
		h.server.Counter.Count("peer.refused")
	}
}

// answer returns the text and takes one of textSlots, which the caller releases; after an error, none is taken.
func (h *textHandler) answer(req *jsonrpc2.Request) (data []byte, err error) {
	var in textRequest
	if req.Method != methodBundle || req.Notif || req.Params == nil || json.Unmarshal(*req.Params, &in) != nil {
		h.server.Counter.Count("peer.message")
		return nil, &jsonrpc2.Error{Code: codeInvalid, Message: "unexpected request"}
	}
	if h.server.Texts == nil {
		return nil, &jsonrpc2.Error{Code: codeMissing, Message: "no texts"}
	}
	select {
	case h.server.textSlots <- struct{}{}:
	default:
		h.server.Counter.Count("peer.textbusy")
		return nil, &jsonrpc2.Error{Code: codeBusy, Message: "busy"}
	}
	defer func() {
		if err != nil {
			<-h.server.textSlots
		}
	}()
	if !h.server.textLimiter.Allow() {
		h.server.Counter.Count("peer.textbusy")
		return nil, &jsonrpc2.Error{Code: codeBusy, Message: "busy"}
	}
	if data, err = h.server.Texts.Text(in.Name); err != nil || len(data) > MaxTextBytes {
		return nil, &jsonrpc2.Error{Code: codeMissing, Message: "not in force here, or too large"}
	}
	return data, nil
}

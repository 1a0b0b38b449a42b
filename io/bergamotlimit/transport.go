package bergamotlimit

import (
	"io"
	"net/http"

	"bergamotspur/core/bergamotaccount"
)

// decodedFactor is the memory of a reply and what is decoded from it, as a multiple of the reply.
const decodedFactor = 2

// Transport charges the bodies of the replies that an http.RoundTripper returns to an account while they are read.
type Transport struct {
	Next    http.RoundTripper
	Account *bergamotaccount.Account
	Kind    bergamotaccount.Kind
}

// RoundTrip sends a request. The host of the request is the key of the charge.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	body := resp.Body
	charge := t.Account.Open(bergamotaccount.NewHolder(t.Kind, r.URL.Host, func(bergamotaccount.Cause) { _ = body.Close() }))
	resp.Body = &chargedBody{body: body, charge: charge}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of Next.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.Next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// chargedBody is a body whose bytes are charged until it is closed.
type chargedBody struct {
	body   io.ReadCloser
	charge *bergamotaccount.Charge
	bytes  int64
}

// Read reads from the body; it fails when the charge is evicted.
func (b *chargedBody) Read(p []byte) (n int, err error) {
	n, err = b.body.Read(p)
	b.bytes += int64(n)
	if full := b.charge.Resize(decodedFactor * b.bytes); full != nil {
		return n, full
	}
	return n, err
}

// Close releases the memory and closes the body.
func (b *chargedBody) Close() error {
	b.charge.Close()
	return b.body.Close()
}

package bergamotwire

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strings"
)

// Statuses of final answers, as RFC 9110, section 15 has them.
const (
	minStatus = 200
	maxStatus = 599
)

// maxQuoted is the number of bytes of a malformed answer that an error quotes.
const maxQuoted = 64

// MalformedError is the error of an answer that is not one in HTTP, so that neither its status nor its body counts. What the request has
// done is not known.
type MalformedError struct{ what string }

// Error returns what is wrong, with the bytes of the answer quoted.
func (e *MalformedError) Error() string { return "malformed answer: " + e.what }

// Transport is an http.RoundTripper that fails with a *MalformedError on answers that net/http accepts although they are malformed: with a
// status that no final answer has, or with a field name that is not a token. A name with a blank before the colon may be one that frames
// the body, so that the body is not what the server has sent.
type Transport struct{ Next http.RoundTripper }

// RoundTrip sends a request with Next and checks the answer. Trailers are checked at the end of the body, whose Read then fails.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Next.RoundTrip(r)
	if err != nil {
		var malformed textproto.ProtocolError
		if errors.As(err, &malformed) {
			return nil, &MalformedError{fmt.Sprintf("%.*s", 2*maxQuoted, string(malformed))}
		}
		return nil, err
	}
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		err = &MalformedError{fmt.Sprintf("status %03d", resp.StatusCode)}
	} else {
		err = CheckFields(resp.Header)
	}
	if err != nil {
		_ = resp.Body.Close() // it is not used
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &trailerBody{ReadCloser: resp.Body, resp: resp}
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of Next.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.Next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// trailerBody is a body that ends with an error if a field name in its trailers is malformed.
type trailerBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read reads from the body.
func (b *trailerBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := CheckFields(b.resp.Trailer); malformed != nil {
			err = malformed
		}
	}
	return n, err
}

// CheckFields returns a *MalformedError if a field name of an answer is not a token.
func CheckFields(h http.Header) error {
	for name, values := range h {
		if len(values) > 0 && !isToken(name) { // trailers that are announced and not sent have no values
			return &MalformedError{fmt.Sprintf("field name %.*q", maxQuoted, name)}
		}
	}
	return nil
}

// isToken reports whether a text is a token as RFC 9110, section 5.6.2 defines it.
func isToken(text string) bool {
	for _, r := range text {
		isAlphanumeric := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9'
		if !isAlphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", r) {
			return false
		}
	}
	return text != ""
}

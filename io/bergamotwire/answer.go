package bergamotwire

import (
	"fmt"
	"net/http"
)

// Statuses of final answers, as RFC 9110, section 15 has them.
const (
	minStatus = 200
	maxStatus = 599
)

// MalformedError is the error of an answer that is not one in HTTP, so that neither its status nor its body counts. What the request has
// done is not known.
type MalformedError struct{ what string }

// Error returns what is wrong.
func (e *MalformedError) Error() string { return "malformed answer: " + e.what }

// Transport is an http.RoundTripper that fails with a *MalformedError on answers that net/http accepts although they are malformed: with a
// status that no final answer has.
type Transport struct{ Next http.RoundTripper }

// RoundTrip sends a request with Next and checks the answer.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		_ = resp.Body.Close() // it is not used
		return nil, &MalformedError{fmt.Sprintf("status %03d", resp.StatusCode)}
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of Next.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.Next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

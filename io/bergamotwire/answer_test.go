package bergamotwire_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotfake"
	"bergamotspur/io/bergamotwire"
)

type answerCase struct {
	method string // GET if empty
	text   string
	body   string // of a sound answer
	what   string // in the error; empty for a sound answer
	other  bool   // net/http has rejected it with an error of its own
}

var _ = ginkgo.Describe("an answer", func() {
	const ok, length, chunked, chunk = "HTTP/1.1 200 OK\r\n", "Content-Length: 6\r\n", "Transfer-Encoding: chunked\r\n", "6\r\nanswer\r\n0\r\n"
	status := func(code string) string { return "HTTP/1.1 " + code + " Odd\r\n" + length + "\r\nanswer" }
	named := func(name string) string { return ok + length + name + ": 1\r\n\r\nanswer" }
	trailer := func(name string) string { return ok + chunked + "\r\n" + chunk + name + ": 1\r\n\r\n" }
	// Guards against answers of a server in trouble that pass for sound ones: with a status that no answer has, or with a line in the head or
	// the trailer that is no field, which may be one that frames the body.
	bergamottest.Cases(map[string]answerCase{
		"is sound":                                       {text: ok + length + "\r\nanswer", body: "answer"},
		"is sound without a length":                      {text: ok + "\r\nanswer", body: "answer"},
		"is sound with any token as a name":              {text: named("x!#$%&'*+-.^_`|~9"), body: "answer"},
		"is sound with a trailer of any token":           {text: trailer("x!#$%&'*+-.^_`|~9"), body: "answer"},
		"is sound with a trailer that is not sent":       {text: ok + chunked + "Trailer: X Odd\r\n\r\n" + chunk + "\r\n", body: "answer"},
		"is sound after an interim one":                  {text: "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + ok + length + "\r\nanswer", body: "answer"},
		"is sound to a question for the head":            {method: http.MethodHead, text: ok + length + "\r\n"},
		"is sound with the last status":                  {text: status("599"), body: "answer"},
		"is malformed with status 000":                   {text: status("000"), what: "status 000"},
		"is malformed with status 042":                   {text: status("042"), what: "status 042"},
		"is malformed with status 099":                   {text: status("099"), what: "status 099"},
		"is malformed with a signed status":              {text: status("+12"), what: "status 012"},
		"is malformed with status 600":                   {text: status("600"), what: "status 600"},
		"is malformed with status 999":                   {text: status("999"), what: "status 999"},
		"is malformed without a length and a status":     {text: "HTTP/1.1 000 Odd\r\n\r\nanswer", what: "status 000"},
		"is malformed when it changes the protocol":      {text: "HTTP/1.1 101 Odd\r\nConnection: Upgrade\r\nUpgrade: odd\r\n\r\nanswer", what: "status 101"},
		"is malformed to a question for the head":        {method: http.MethodHead, text: "HTTP/1.1 042 Odd\r\n" + length + "\r\n", what: "status 042"},
		"is malformed in the head to such a question":    {method: http.MethodHead, text: ok + length + "X Odd: 1\r\n\r\n", what: `field name "X Odd"`},
		"is malformed with a blank in a name":            {text: named("X Odd"), what: `field name "X Odd"`},
		"is malformed with a blank after a name":         {text: named("X-Odd "), what: `field name "X-Odd "`},
		"is malformed with a blank after the length":     {text: ok + "Content-Length : 5\r\n\r\nanswer", what: `field name "Content-Length "`},
		"is malformed with a blank after the encoding":   {text: ok + "Transfer-Encoding : chunked\r\n\r\n" + chunk + "\r\n", what: `field name "Transfer-Encoding "`},
		"is malformed with a blank in a trailer":         {text: trailer("X Odd"), what: `field name "X Odd"`},
		"is malformed with a blank after a trailer":      {text: trailer("X-Odd "), what: `field name "X-Odd "`},
		"is malformed with a long name":                  {text: named("X " + strings.Repeat("a", 1000)), what: `field name "X aaa`},
		"is malformed with a control byte in a name":     {text: named("X-\x01Odd"), what: `X-\x01Odd`},
		"is malformed with a tab in a name":              {text: named("X-Odd\t"), what: `X-Odd\t`},
		"is malformed with a DEL in a name":              {text: named("X-\x7fOdd"), what: `X-\x7fOdd`},
		"is malformed without a name":                    {text: named(""), what: `": 1"`},
		"is malformed with a control byte in a trailer":  {text: trailer("X-\x01Odd"), what: `X-\x01Odd`, other: true},
		"is malformed with an interim one in its place":  {text: "HTTP/1.1 150 Odd\r\n\r\n", what: "EOF", other: true},
		"is malformed with letters in place of a status": {text: status("2x0"), what: `"2x0"`, other: true},
	}, func(c answerCase) {
		server := httptest.NewServer(bergamotfake.NewRawHandler(c.text))
		defer server.Close()
		transport := bergamotwire.NewTransport()
		transport.Next.(*http.Transport).DisableKeepAlives = true
		req, err := http.NewRequest(c.method, server.URL, nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		var body []byte
		resp, err := transport.RoundTrip(req)
		if err == nil {
			body, err = io.ReadAll(resp.Body)
			gomega.Expect(resp.Body.Close()).To(gomega.Succeed())
		}
		if c.what == "" {
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(string(body)).To(gomega.Equal(c.body))
			return
		}
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.what)))
		gomega.Expect(err.Error()).To(gomega.MatchRegexp(`^[ -~]{1,200}$`), "raw bytes of the answer, or too many of them")
		var malformed *bergamotwire.MalformedError
		gomega.Expect(errors.As(err, &malformed)).To(gomega.Equal(!c.other), "%v", err)
	})
})

package bergamotwire_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamottest"
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
	const ok, length = "HTTP/1.1 200 OK\r\n", "Content-Length: 6\r\n"
	status := func(code string) string { return "HTTP/1.1 " + code + " Odd\r\n" + length + "\r\nanswer" }
	// Guards against answers of a server in trouble that pass for sound ones: with a status that no answer has.
	bergamottest.Cases(map[string]answerCase{
		"is sound":                                       {text: ok + length + "\r\nanswer", body: "answer"},
		"is sound without a length":                      {text: ok + "\r\nanswer", body: "answer"},
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
		"is malformed with an interim one in its place":  {text: "HTTP/1.1 150 Odd\r\n\r\n", what: "EOF", other: true},
		"is malformed with letters in place of a status": {text: status("2x0"), what: `"2x0"`, other: true},
	}, func(c answerCase) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = l.Close() }() // ends the accepting goroutine if it still waits
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }() // the caller sees a failure
			if _, err = http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, c.text)
			}
		}()
		next := bergamotwire.NewTransport()
		next.DisableKeepAlives = true
		req, err := http.NewRequest(c.method, "http://"+l.Addr().String()+"/", nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		var body []byte
		resp, err := (&bergamotwire.Transport{Next: next}).RoundTrip(req)
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

package bergamotrelay

import (
	"context"
	"errors"
	"io"
	"os"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotaccount"
	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamottest"
)

// content is the body of a request that arrives in pieces.
type content struct {
	pieces  []string
	length  int64
	head    int64
	end     error  // after the pieces, io.EOF by default
	before  func() // called before the last piece
	reads   int
	moved   bool
	aborted bool
	until   time.Time
}

func (c *content) Length() int64           { return c.length }
func (c *content) Connection() string      { return "connection" }
func (c *content) HeadBytes() int64        { return c.head }
func (c *content) MoveHead()               { c.moved = true }
func (c *content) SetDeadline(t time.Time) { c.until = t }
func (c *content) Abort()                  { c.aborted = true }

func (c *content) Read(p []byte) (int, error) {
	c.reads++
	if len(c.pieces) == 1 && c.before != nil {
		c.before()
	}
	if len(c.pieces) > 0 {
		n := copy(p, c.pieces[0])
		if c.pieces[0] = c.pieces[0][n:]; c.pieces[0] == "" {
			c.pieces = c.pieces[1:]
		}
		return n, nil
	}
	if c.end != nil {
		return 0, c.end
	}
	return 0, io.EOF
}

type bodyCase struct {
	content *content
	full    bool // the account has no memory left
	ends    bool // the entry stops while the body arrives
	want    string
	body    string
	unread  bool
}

var _ = ginkgo.Describe("the filter that reads bodies", func() {
	cfg := bergamotconfig.New(bergamotconfig.Spec{Version: 1, Limits: bergamotconfig.Limits{MaxBodyBytes: 10}})
	// Guards against a body that changes, a refusal that misleads about a retry, a body that is read although it is refused, and
	// memory that stays charged.
	bergamottest.Cases(map[string]bodyCase{
		"passes a request without a body":             {content: &content{}, want: "answered", unread: true},
		"passes a declared body":                      {content: &content{length: 4, pieces: []string{"bo", "dy"}}, want: "answered", body: "body"},
		"passes an undeclared body":                   {content: &content{length: -1, pieces: []string{"b", "o", "dy"}}, want: "answered", body: "body"},
		"passes a body of the limit":                  {content: &content{length: -1, pieces: []string{"0123456789"}}, want: "answered", body: "0123456789"},
		"charges a large head without a body":         {content: &content{head: 1 << 16}, want: "answered"},
		"refuses a declared size over the limit":      {content: &content{length: 11}, want: "size no", unread: true},
		"refuses a size over the limit":               {content: &content{length: -1, pieces: []string{"0123456789", "x"}}, want: "size no"},
		"refuses a body without memory":               {content: &content{length: -1, pieces: []string{"body"}}, full: true, want: "memory no", unread: true},
		"refuses a large head without memory":         {content: &content{head: 1 << 16}, full: true, want: "memory no", unread: true},
		"refuses a body that is late":                 {content: &content{length: 8, pieces: []string{"body"}, end: os.ErrDeadlineExceeded}, want: "upload no"},
		"refuses a body while the entry stops":        {content: &content{length: 8, pieces: []string{"bo", "dy"}, end: os.ErrDeadlineExceeded}, ends: true, want: "drain no"},
		"gives up a body whose caller has gone away":  {content: &content{length: 8, pieces: []string{"body"}, end: io.ErrUnexpectedEOF}, want: "cancel no"},
		"gives up a body that cannot be decoded":      {content: &content{length: -1, pieces: []string{"body"}, end: errors.New("bad chunk")}, want: "cancel no"},
		"does not send a request that ends too short": {content: &content{length: 8, pieces: []string{"body"}, end: io.ErrUnexpectedEOF}, want: "cancel no"},
	}, func(c bodyCase) {
		account := &bergamotaccount.Account{Max: 1 << 20, Clock: bergamotclock.NewVirtual(now)}
		if c.full {
			account.Max = 5
		}
		var refused []string
		f := &BodyReader{Account: account, OnRefuse: func(r bergamotrequest.Reason, key string, _ int64) { refused = append(refused, string(r)+" "+key) }}
		x := NewExchange(NewRequest(RequestSpec{Content: c.content, ArrivedAt: now}), bergamotcluster.NewView(cfg, 0, bergamotfleet.NewFleet(nil)), &caller{})
		x.SetDeadline(now.Add(time.Second))
		ctx, cancel := context.WithCancelCause(context.Background())
		defer cancel(nil)
		if c.ends {
			c.content.before = func() { cancel(NewFailure(bergamotrequest.RunUnknown, bergamotrequest.ReasonDrain, errStopping)) }
		}
		passed := 0
		err := f.Filter(ctx, x, handlerFunc(func(context.Context, *Exchange) error {
			passed++
			gomega.Expect(account.Total()).To(gomega.BeNumerically(">=", len(c.body)+int(c.content.head)))
			gomega.Expect(c.content.until.IsZero()).To(gomega.BeTrue(), "the deadline of the body stays in force")
			return nil
		}))
		gomega.Expect(outcomeOf(err)).To(gomega.Equal(c.want))
		gomega.Expect(string(x.Request().Body())).To(gomega.Equal(c.body))
		gomega.Expect(passed == 1).To(gomega.Equal(c.want == "answered"))
		gomega.Expect(c.content.reads == 0).To(gomega.Equal(c.unread))
		gomega.Expect(account.Total()).To(gomega.BeZero())
		gomega.Expect(account.Holders()).To(gomega.BeZero())
		switch reason, _, _ := strings.Cut(c.want, " "); reason {
		case "answered", "cancel", "drain":
			gomega.Expect(refused).To(gomega.BeEmpty())
		default:
			gomega.Expect(refused).To(gomega.Equal([]string{reason + " connection"}))
		}
	})
})

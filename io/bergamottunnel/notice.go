package bergamottunnel

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/samber/oops"

	"bergamotspur/io/bergamotwire"
)

// NoticePath is the path of notices.
const NoticePath = "/notice"

const (
	// maxNotices is the number of notices that wait to be sent; further ones are dropped, since runners repeat them in each answer.
	maxNotices    = 64
	noticeTimeout = 300 * time.Millisecond
)

// Notice is what a runner has said in an answer over a helper: that it leaves, or that it wants no requests for a while. It has told
// that to the helper, whose connection it was.
type Notice struct {
	Runner  string        `json:"runner"`
	Process string        `json:"process"`
	Pause   time.Duration `json:"pause"` // in nanoseconds, 0 for a process that leaves
}

// addressedNotice is a notice with the address of the entry that is to learn it.
type addressedNotice struct {
	Notice
	to string
}

// Notifier passes notices on to helpers without holding up the answers that brought them.
type Notifier struct {
	OnDrop func(err error) // called for each notice that was not passed on; err is nil if too many waited

	client *bergamotwire.Client
	queue  chan addressedNotice
}

// Init prepares the notifier so that Send works before Run.
func (n *Notifier) Init() {
	n.client, n.queue = bergamotwire.NewClient(), make(chan addressedNotice, maxNotices)
}

// Send queues a notice for the entry at an address.
func (n *Notifier) Send(to string, notice Notice) {
	select {
	case n.queue <- addressedNotice{notice, to}:
	default:
		n.OnDrop(nil)
	}
}

// Run sends notices until ctx ends; it returns the error of ctx.
func (n *Notifier) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case notice := <-n.queue:
			if err := n.post(ctx, notice); err != nil {
				n.OnDrop(err)
			}
		}
	}
}

func (n *Notifier) post(ctx context.Context, notice addressedNotice) (err error) {
	defer func() { err = oops.In("tunnel").Wrapf(err, "tell %s about %s", notice.to, notice.Runner) }()
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	return n.client.Post(ctx, notice.to, NoticePath, notice.Notice, nil)
}

// NewNoticeHandler returns the handler of notices, which are passed to learn.
func NewNoticeHandler(learn func(Notice)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var in Notice
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.Pause < 0 {
			http.Error(w, "not a notice", http.StatusBadRequest)
			return
		}
		learn(in)
	})
}

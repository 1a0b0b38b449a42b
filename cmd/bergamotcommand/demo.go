package bergamotcommand

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"bergamotspur/io/bergamotdemo"
	"bergamotspur/io/bergamotfront"
	"bergamotspur/io/bergamotwire"
)

type demoCommand struct {
	Serve bool `help:"Stay up until interrupted, for use with a client of your own."`
}

// Run starts the demo, sends the sample requests and prints the responses.
func (c *demoCommand) Run(s *streams) (err error) {
	log := s.err
	if !c.Serve {
		log = io.Discard
	}
	shop := &bergamotdemo.Demo{Log: log}
	defer func() { err = errors.Join(err, shop.Close()) }()
	if err = shop.Start(s.ctx); err != nil {
		return err
	}
	if c.Serve {
		return c.serve(s, shop)
	}
	d := &demo{streams: s, shop: shop, wire: bergamotwire.NewClient()}
	defer d.wire.Close()
	return d.run()
}

func (c *demoCommand) serve(s *streams, shop *bergamotdemo.Demo) error {
	e := shop.Entries()[0]
	s.printf("pipelines: %s\n", strings.Join(e.View().Bundle().Pipelines(), ", "))
	for _, entry := range shop.Entries() {
		s.printf("%s: callers %s, operators %s\n", entry.Setting.Name(), entry.CallerAddress(), entry.OperatorAddress())
	}
	s.printf("OPENAI_BASE_URL=http://%s/v1\nOPENAI_API_KEY=%s\n", e.CallerAddress(), bergamotdemo.APIKey)
	<-s.ctx.Done()
	return nil
}

// demo sends the sample requests and prints the responses.
type demo struct {
	*streams
	shop *bergamotdemo.Demo
	wire *bergamotwire.Client
}

func (d *demo) run() (err error) {
	for _, step := range []func() error{d.printChat, d.printStreamedCompletion, d.bookPickup, d.repeatBooking} {
		if err = step(); err != nil {
			return err
		}
	}
	for _, e := range d.shop.Entries() {
		d.printf("\ncounters of %s:\n", e.Setting.Name())
		for _, line := range e.Metrics().Lines() {
			if !strings.HasSuffix(line, " 0") {
				d.printf("  %s\n", line)
			}
		}
	}
	d.printf("\nthe pickup service ran %d call(s)\n", len(d.shop.Service().Journal()))
	return nil
}

func (d *demo) printChat() (err error) {
	body, header, err := d.post(0, "/v1/chat/completions", "", map[string]any{
		"model": "advice", "max_tokens": 12,
		"messages": []map[string]string{{"role": "user", "content": "Which oil for a beech board?"}},
	})
	if err != nil {
		return err
	}
	var m struct {
		Choices []struct{ Message struct{ Content string } }
	}
	if err = json.Unmarshal(body, &m); err != nil || len(m.Choices) == 0 {
		return fmt.Errorf("answer without a choice: %s", body)
	}
	d.printf("short answer (path %s):\n  %s\n", header.Get(bergamotfront.HeaderPath), m.Choices[0].Message.Content)
	return nil
}

func (d *demo) printStreamedCompletion() (err error) {
	data, err := json.Marshal(map[string]any{
		"model": "quote", "max_tokens": 120, "stream": true, "prompt": "Quote the restoration of six cracked boards.",
	})
	if err != nil {
		return err
	}
	resp, err := d.wire.Open(d.ctx, http.MethodPost, d.address(1), "/v1/completions", d.header(""), data)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, resp.Body.Close()) }()
	text, events, done := readEvents(resp.Body)
	d.printf("streamed long answer (%d events, closed by [DONE]: %v):\n  %.200s...\n", events, done, text)
	return nil
}

// readEvents returns the text of a stream of server-sent events, the number of events before [DONE], and whether [DONE]
// was received.
func readEvents(r io.Reader) (text string, events int, done bool) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return text, events, true
		}
		var m struct{ Choices []struct{ Text string } }
		if json.Unmarshal(data, &m) == nil && len(m.Choices) > 0 {
			text += m.Choices[0].Text
		}
		events++
	}
	return text, events, false
}

func (d *demo) bookPickup() error { return d.printBooking(0, "booking") }

func (d *demo) repeatBooking() error {
	return d.printBooking(1, "the same booking again, at the other entry")
}

func (d *demo) printBooking(entry int, title string) error {
	body, header, err := d.post(entry, "/v1/services/pickup/book", "order-1047", map[string]string{"slot": "tuesday-10"})
	if err != nil {
		return err
	}
	d.printf("%s (path %s, replayed: %v):\n  %s\n", title, header.Get(bergamotfront.HeaderPath),
		header.Get(bergamotfront.HeaderReplay) != "", bytes.TrimSpace(body))
	return nil
}

func (d *demo) address(entry int) string { return d.shop.Entries()[entry].CallerAddress() }

func (d *demo) header(idempotencyKey string) http.Header {
	h := http.Header{"Authorization": {"Bearer " + bergamotdemo.APIKey}}
	if idempotencyKey != "" {
		h.Set(bergamotfront.HeaderIdempotencyKey, idempotencyKey)
	}
	return h
}

func (d *demo) post(entry int, path, idempotencyKey string, request any) (body []byte, h http.Header, err error) {
	data, err := json.Marshal(request)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(d.ctx, statusTimeout)
	defer cancel()
	return d.wire.Do(ctx, http.MethodPost, d.address(entry), path, d.header(idempotencyKey), data)
}

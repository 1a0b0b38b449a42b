package bergamotengine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"

	"bergamotspur/core/bergamotsession"
)

// stream reads token messages in a goroutine of its own, so that Next can give up when its context ends.
type stream struct {
	body   io.Closer
	cancel context.CancelFunc
	steps  chan received
	done   chan struct{}
	ended  chan struct{}
}

type received struct {
	step bergamotsession.Step
	err  error
}

func newStream(body io.ReadCloser, cancel context.CancelFunc) *stream {
	s := &stream{body: body, cancel: cancel, steps: make(chan received, 16), done: make(chan struct{}), ended: make(chan struct{})}
	go s.read(body)
	return s
}

func (s *stream) read(body io.Reader) {
	defer close(s.ended)
	defer close(s.steps)
	d := json.NewDecoder(bufio.NewReader(body))
	for {
		var m TokenMessage
		r := received{err: d.Decode(&m)}
		switch {
		case r.err == io.EOF:
			r.err = io.ErrUnexpectedEOF
		case r.err != nil:
		case m.Fail != "":
			r.err = bergamotsession.NewStageError(m.Target, errors.New(m.Fail))
		default:
			r.step = m.Step()
		}
		select {
		case s.steps <- r:
		case <-s.done:
			return
		}
		if r.err != nil {
			return
		}
	}
}

// Next waits for the next step.
func (s *stream) Next(ctx context.Context) (bergamotsession.Step, error) {
	select {
	case <-ctx.Done():
		return bergamotsession.Step{}, ctx.Err()
	case r, ok := <-s.steps:
		if !ok {
			return bergamotsession.Step{}, io.ErrUnexpectedEOF
		}
		return r.step, r.err
	}
}

// Close ends the stream and its reading goroutine.
func (s *stream) Close() error {
	close(s.done)
	s.cancel()
	err := s.body.Close()
	<-s.ended
	return err
}

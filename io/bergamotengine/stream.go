package bergamotengine

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"

	"bergamotspur/core/bergamotsession"
)

// stream reads token messages in its own goroutine, so that Next can return when its context ends.
type stream struct {
	body       io.Closer
	cancel     context.CancelFunc
	results    chan readResult
	closing    chan struct{} // closed by Close
	readerDone chan struct{} // closed when the reading goroutine has ended
}

// readResult is a step, or the error that ended the stream.
type readResult struct {
	step bergamotsession.Step
	err  error
}

func newStream(body io.ReadCloser, cancel context.CancelFunc) *stream {
	s := &stream{body: body, cancel: cancel, results: make(chan readResult, 16), closing: make(chan struct{}), readerDone: make(chan struct{})}
	go s.read(body)
	return s
}

// read sends each message as a step until an error or Close.
func (s *stream) read(body io.Reader) {
	defer close(s.readerDone)
	defer close(s.results)
	d := json.NewDecoder(bufio.NewReader(body))
	for {
		var m TokenMessage
		r := readResult{err: d.Decode(&m)}
		switch {
		case r.err == io.EOF:
			r.err = io.ErrUnexpectedEOF
		case r.err != nil:
		case m.Failure != "":
			r.err = bergamotsession.NewStageError(m.Target, errors.New(m.Failure))
		default:
			r.step = m.Step()
		}
		select {
		case s.results <- r:
		case <-s.closing:
			return
		}
		if r.err != nil {
			return
		}
	}
}

// Next waits for the next step; after the end of the stream it returns io.ErrUnexpectedEOF.
func (s *stream) Next(ctx context.Context) (bergamotsession.Step, error) {
	select {
	case <-ctx.Done():
		return bergamotsession.Step{}, ctx.Err()
	case r, ok := <-s.results:
		if !ok {
			return bergamotsession.Step{}, io.ErrUnexpectedEOF
		}
		return r.step, r.err
	}
}

// Close closes the stream and waits until its reading goroutine has ended.
func (s *stream) Close() error {
	close(s.closing)
	s.cancel()
	err := s.body.Close()
	<-s.readerDone
	return err
}

package bergamotsession

import (
	"context"
	"errors"
)

// errHungBatch is the cause of failure of a stage whose current batch does not end.
var errHungBatch = errors.New("the batch of the instance does not end")

// findHungStage asks all stages of a stalled attempt for their progress. It returns an error that names a stage that
// does not reply or whose batch hangs, or err when there is none. An instance that completes batches is slow, not hung,
// so that overload does not make every request a suspect.
func (a *attempt) findHungStage(ctx context.Context, err error) error {
	reports := make([]Progress, len(a.spans))
	errs := make([]error, len(a.spans))
	_ = a.forEachSpan(func(n int) error {
		reports[n], errs[n] = a.progress(ctx, a.spans[n])
		return nil
	})
	for _, e := range errs {
		if e != nil {
			return e
		}
	}
	for n, s := range a.spans {
		if reports[n].BatchAge() >= a.session.StallTimeout/2 {
			return NewStageError(s.Stage().Address(), errors.Join(errHungBatch, err))
		}
	}
	return err
}

// confirmFailure asks the instance that an error names whether it still runs the span, since a stage also reports a
// failure when only its link to the next one is broken. The returned cause is the error that shows how it failed.
func (a *attempt) confirmFailure(ctx context.Context, address string, err error) (failed bool, cause error) {
	if errors.Is(err, errHungBatch) || errors.Is(err, errSilence) || errors.Is(err, ErrConnectionRefused) {
		return true, err
	}
	for _, s := range a.spans {
		if s.Stage().Address() == address {
			if _, cause = a.progress(ctx, s); cause != nil {
				return true, cause
			}
		}
	}
	return false, err
}

func (a *attempt) progress(ctx context.Context, s Span) (p Progress, err error) {
	err = a.callWithRetry(ctx, s, func(ctx context.Context) (err error) {
		p, err = a.session.Engine.Progress(ctx, s.Stage().Address(), s)
		return err
	})
	return p, err
}

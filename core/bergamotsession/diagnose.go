package bergamotsession

import (
	"context"
	"errors"
)

// errHang is the cause of a stage whose batch does not end.
var errHang = errors.New("the batch of the instance does not end")

// diagnose names the stage at which a stalled attempt hangs, or returns err when it cannot tell. An
// instance that ends batches is slow, not hung, so that overload does not make every request a suspect.
func (a *attempt) diagnose(ctx context.Context, err error) error {
	reports := make([]Progress, len(a.spans))
	errs := make([]error, len(a.spans))
	_ = a.each(func(n int) error {
		reports[n], errs[n] = a.progress(ctx, a.spans[n])
		return nil
	})
	for _, e := range errs {
		if e != nil {
			return e
		}
	}
	for n, s := range a.spans {
		if reports[n].Batch() >= a.session.Stall/2 {
			return NewStageError(s.Stage().Address(), errors.Join(errHang, err))
		}
	}
	return err
}

// crashed asks the instance that a failure names whether it still runs the span: a stage also reports a
// failure when only the link to the next one is broken. The returned error tells how it failed.
func (a *attempt) crashed(ctx context.Context, address string, err error) (failed bool, cause error) {
	if errors.Is(err, errHang) || errors.Is(err, errSilence) || errors.Is(err, ErrRefused) {
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
	err = a.call(ctx, s, func(ctx context.Context) (err error) {
		p, err = a.session.Engine.Progress(ctx, s.Stage().Address(), s)
		return err
	})
	return p, err
}

package bergamottest

import (
	"context"
	"time"

	"bergamotspur/core/bergamotrequest"
)

// Discard is a sink that takes every token and reply.
type Discard struct{}

// Token takes a token.
func (Discard) Token(context.Context, bergamotrequest.Token) error { return nil }

// Reply takes a reply.
func (Discard) Reply(context.Context, bergamotrequest.Reply) error { return nil }

// FreeRetries allows every retry at once.
type FreeRetries struct{}

// RecordFirst counts nothing.
func (FreeRetries) RecordFirst(string, ...string) {}

// Wait allows a retry.
func (FreeRetries) Wait(context.Context, string, int, time.Time, ...string) error { return nil }

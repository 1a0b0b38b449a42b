package bergamottest

import (
	"context"
	"time"

	"bergamotspur/core/bergamotrequest"
)

// DiscardSink is a sink that discards every token and reply.
type DiscardSink struct{}

// Token discards a token.
func (DiscardSink) Token(context.Context, bergamotrequest.Token) error { return nil }

// Reply discards a reply.
func (DiscardSink) Reply(context.Context, bergamotrequest.Reply) error { return nil }

// FreeRetries is a retry budget that allows every retry at once.
type FreeRetries struct{}

// RecordFirst counts nothing.
func (FreeRetries) RecordFirst(string, ...string) {}

// Wait returns nil, which allows the retry, without waiting.
func (FreeRetries) Wait(context.Context, string, int, time.Time, ...string) error { return nil }

package bergamotfront

import "bergamotspur/core/bergamotrequest"

// answerBody is the body of a complete answer and of each event of a streamed one.
type answerBody struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choiceBody `json:"choices"`
	Usage   *usageBody   `json:"usage,omitempty"`
}

type choiceBody struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *messageBody `json:"message,omitempty"`
	Delta        *messageBody `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type messageBody struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type usageBody struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (s *completionSink) isChat() bool { return s.request.Kind() == bergamotrequest.KindChat }

// newBody returns a body with the fields that all answers to the request share.
func (s *completionSink) newBody(object string, c choiceBody) answerBody {
	return answerBody{
		ID: s.request.ID(), Object: object, Created: s.created.Unix(), Model: s.request.Model(), Choices: []choiceBody{c},
	}
}

// fullBody returns the body of an answer that is not streamed.
func (s *completionSink) fullBody(finishReason string) answerBody {
	text := s.text.String()
	c := choiceBody{Text: &text, FinishReason: &finishReason}
	object := "text_completion"
	if s.isChat() {
		c = choiceBody{Message: &messageBody{Role: "assistant", Content: &text}, FinishReason: &finishReason}
		object = "chat.completion"
	}
	b := s.newBody(object, c)
	b.Usage = s.usage()
	return b
}

// usage counts the tokens of the answer. Prompt tokens are reported as 0, since only the engines tokenise.
func (s *completionSink) usage() *usageBody {
	return &usageBody{CompletionTokens: s.tokenCount, TotalTokens: s.tokenCount}
}

// usageChunk returns the body of the event before [DONE] that clients request with include_usage; it has no choices.
func (s *completionSink) usageChunk() answerBody {
	object := "text_completion"
	if s.isChat() {
		object = "chat.completion.chunk"
	}
	b := s.newBody(object, choiceBody{})
	b.Choices = []choiceBody{}
	b.Usage = s.usage()
	return b
}

// chunk returns the body of one event of a streamed answer; finishReason is nil except in the last one.
func (s *completionSink) chunk(text string, first bool, finishReason *string) answerBody {
	if !s.isChat() {
		return s.newBody("text_completion", choiceBody{Text: &text, FinishReason: finishReason})
	}
	delta := &messageBody{}
	if finishReason == nil {
		delta.Content = &text
	}
	if first {
		delta.Role = "assistant"
	}
	return s.newBody("chat.completion.chunk", choiceBody{Delta: delta, FinishReason: finishReason})
}

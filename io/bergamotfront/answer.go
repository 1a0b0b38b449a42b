package bergamotfront

import "bergamotspur/core/bergamotrequest"

// answerBody is the body of a whole answer and of each event of a streamed one.
type answerBody struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choiceBody `json:"choices"`
	Usage   *usageBody   `json:"usage,omitempty"`
}

type choiceBody struct {
	Index   int          `json:"index"`
	Text    *string      `json:"text,omitempty"`
	Message *messageBody `json:"message,omitempty"`
	Delta   *messageBody `json:"delta,omitempty"`
	Finish  *string      `json:"finish_reason"`
}

type messageBody struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type usageBody struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

func (s *sink) isChat() bool { return s.request.Kind() == bergamotrequest.KindChat }

func (s *sink) body(object string, c choiceBody) answerBody {
	return answerBody{
		ID: s.request.ID(), Object: object, Created: s.created.Unix(), Model: s.request.Model(), Choices: []choiceBody{c},
	}
}

// whole returns the body of an answer that is not streamed. Prompt tokens are not counted, since only engines tokenise.
func (s *sink) whole(reason string) answerBody {
	text := s.text.String()
	c := choiceBody{Text: &text, Finish: &reason}
	object := "text_completion"
	if s.isChat() {
		c = choiceBody{Message: &messageBody{Role: "assistant", Content: &text}, Finish: &reason}
		object = "chat.completion"
	}
	b := s.body(object, c)
	b.Usage = s.spent()
	return b
}

func (s *sink) spent() *usageBody { return &usageBody{Completion: s.count, Total: s.count} }

// usageChunk returns the event before [DONE] that clients ask for with include_usage; it has no choice.
func (s *sink) usageChunk() answerBody {
	object := "text_completion"
	if s.isChat() {
		object = "chat.completion.chunk"
	}
	b := s.body(object, choiceBody{})
	b.Choices = []choiceBody{}
	b.Usage = s.spent()
	return b
}

// chunk returns the body of one event.
func (s *sink) chunk(text string, first bool, reason *string) answerBody {
	if !s.isChat() {
		return s.body("text_completion", choiceBody{Text: &text, Finish: reason})
	}
	delta := &messageBody{}
	if reason == nil {
		delta.Content = &text
	}
	if first {
		delta.Role = "assistant"
	}
	return s.body("chat.completion.chunk", choiceBody{Delta: delta, Finish: reason})
}

package bergamotfront

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// completionBody is the body of both kinds of completion call. Unknown fields are ignored, since clients send many;
// unsupported fields that would change the form of the answer are decoded so that they can be rejected.
type completionBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []chatMessage   `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Seed                *uint64         `json:"seed"`
	Stream              bool            `json:"stream"`
	N                   *int            `json:"n"`
	Stop                json.RawMessage `json:"stop"`
	Tools               json.RawMessage `json:"tools"`
	Functions           json.RawMessage `json:"functions"`
	Suffix              json.RawMessage `json:"suffix"`
	Echo                bool            `json:"echo"`
	BestOf              *int            `json:"best_of"`
	Logprobs            json.RawMessage `json:"logprobs"`
	ResponseFormat      *formatBody     `json:"response_format"`
	StreamOptions       *streamOptions  `json:"stream_options"`
}

type formatBody struct {
	Type string `json:"type"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// unsupported returns an error that names an unsupported field that would change the answer, or nil.
func (b *completionBody) unsupported() error {
	switch {
	case b.N != nil && *b.N != 1:
		return errors.New("n other than 1 is not supported")
	case isSet(b.Stop):
		return errors.New("stop is not supported")
	case isSet(b.Tools) || isSet(b.Functions):
		return errors.New("tools are not supported")
	case isSet(b.Suffix):
		return errors.New("suffix is not supported")
	case b.Echo:
		return errors.New("echo is not supported")
	case b.BestOf != nil && *b.BestOf != 1:
		return errors.New("best_of other than 1 is not supported")
	case isSet(b.Logprobs):
		return errors.New("logprobs is not supported")
	case b.ResponseFormat != nil && b.ResponseFormat.Type != "text":
		return errors.New("response_format other than text is not supported")
	case b.StreamOptions != nil && !b.Stream:
		return errors.New("stream_options needs stream")
	}
	return nil
}

// wantsUsage reports whether the caller asked for a usage event at the end of the stream.
func (b *completionBody) wantsUsage() bool {
	return b.StreamOptions != nil && b.StreamOptions.IncludeUsage
}

// maxTokens returns the caller's token limit, or defaultMax if it sets none.
func (b *completionBody) maxTokens(defaultMax int) int {
	switch {
	case b.MaxCompletionTokens != nil:
		return *b.MaxCompletionTokens
	case b.MaxTokens != nil:
		return *b.MaxTokens
	}
	return defaultMax
}

// roles are the valid roles of a message. Roles become part of the prompt, where arbitrary text could forge another
// message.
var roles = []string{"system", "developer", "user", "assistant"}

// chatPrompt returns a prompt with one "role: content" line for each message.
func (b *completionBody) chatPrompt() (prompt string, err error) {
	if len(b.Messages) == 0 {
		return "", errors.New("messages is empty")
	}
	var out strings.Builder
	for n, m := range b.Messages {
		if !slices.Contains(roles, m.Role) {
			return "", fmt.Errorf("messages[%d].role must be one of %s", n, strings.Join(roles, ", "))
		}
		text, err := contentText(m.Content)
		if err != nil {
			return "", fmt.Errorf("messages[%d].%w", n, err)
		}
		out.WriteString(m.Role + ": " + text + "\n")
	}
	return out.String(), nil
}

// textPrompt returns the prompt of a text completion, which clients send as a string or a list of one string.
func (b *completionBody) textPrompt() (prompt string, err error) {
	if json.Unmarshal(b.Prompt, &prompt) == nil && prompt != "" {
		return prompt, nil
	}
	var list []string
	if json.Unmarshal(b.Prompt, &list) == nil && len(list) == 1 && list[0] != "" {
		return list[0], nil
	}
	return "", errors.New("prompt must be one non-empty string")
}

// contentText returns the text of a message's content, which is a string or a list of text parts.
func contentText(content json.RawMessage) (text string, err error) {
	if json.Unmarshal(content, &text) == nil {
		return text, nil
	}
	var parts []contentPart
	if err = json.Unmarshal(content, &parts); err != nil {
		return "", errors.New("content must be a string or a list of text parts")
	}
	for _, p := range parts {
		if p.Type != "text" {
			return "", errors.New("content parts other than text are not supported")
		}
		text += p.Text
	}
	return text, nil
}

// isSet reports whether an optional field has a value other than null, false, an empty string or an empty list.
func isSet(m json.RawMessage) bool {
	s := strings.TrimSpace(string(m))
	return s != "" && s != "null" && s != "[]" && s != "false" && s != `""`
}

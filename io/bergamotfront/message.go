package bergamotfront

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// completionBody is the body of both completion calls. Unknown fields are ignored, as clients send many, but
// those that would change the form of the answer are known and rejected.
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

// unsupported returns an error that names a field which would change the answer but is not supported.
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

// usage tells whether a stream ends with an event that has the usage.
func (b *completionBody) usage() bool { return b.StreamOptions != nil && b.StreamOptions.IncludeUsage }

// limit returns the most tokens that the caller wants, or def.
func (b *completionBody) limit(def int) int {
	switch {
	case b.MaxCompletionTokens != nil:
		return *b.MaxCompletionTokens
	case b.MaxTokens != nil:
		return *b.MaxTokens
	}
	return def
}

// roles are those a message can have; the text of the prompt is built from them, so that no other text may stand there.
var roles = []string{"system", "developer", "user", "assistant"}

// chatPrompt returns the messages as one text.
func (b *completionBody) chatPrompt() (prompt string, err error) {
	if len(b.Messages) == 0 {
		return "", errors.New("messages is empty")
	}
	var out strings.Builder
	for n, m := range b.Messages {
		if !slices.Contains(roles, m.Role) {
			return "", fmt.Errorf("messages[%d].role must be one of %s", n, strings.Join(roles, ", "))
		}
		text, err := textOf(m.Content)
		if err != nil {
			return "", fmt.Errorf("messages[%d].%w", n, err)
		}
		out.WriteString(m.Role + ": " + text + "\n")
	}
	return out.String(), nil
}

// textPrompt returns the prompt of a plain completion, which clients send as a string or a list of one string.
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

func textOf(content json.RawMessage) (text string, err error) {
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

func isSet(m json.RawMessage) bool {
	s := strings.TrimSpace(string(m))
	return s != "" && s != "null" && s != "[]" && s != "false" && s != `""`
}

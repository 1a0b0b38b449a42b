package bergamotfront

import (
	"encoding/json"
	"errors"
	"strings"
)

// completionBody is the body of both completion calls; unknown fields are ignored, as clients send many.
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
	case isSet(b.Tools):
		return errors.New("tools are not supported")
	}
	return nil
}

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

// chatPrompt returns the messages as one text.
func (b *completionBody) chatPrompt() (prompt string, err error) {
	if len(b.Messages) == 0 {
		return "", errors.New("messages is empty")
	}
	var out strings.Builder
	for _, m := range b.Messages {
		text, err := textOf(m.Content)
		if err != nil {
			return "", err
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
	return s != "" && s != "null" && s != "[]"
}

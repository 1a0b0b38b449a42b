package bergamotrequest

// Token is a generated token and its position in the answer.
type Token struct {
	position int
	id       int
	text     string
	last     bool
}

// NewToken returns the token with the vocabulary index id and its text at a position counted from 0; last marks the end of
// the answer.
func NewToken(position, id int, text string, last bool) Token {
	return Token{position: position, id: id, text: text, last: last}
}

// Position returns the index of the token in the answer, from 0.
func (t Token) Position() int { return t.position }

// ID returns the vocabulary index of the token.
func (t Token) ID() int { return t.id }

// Text returns the text of the token.
func (t Token) Text() string { return t.text }

// IsLast reports whether the model ended its answer with this token.
func (t Token) IsLast() bool { return t.last }

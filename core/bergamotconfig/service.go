package bergamotconfig

import "time"

// Service is a set of runners that do the same work.
type Service struct {
	name   string
	engine *Engine
}

// NewService returns a service; engine is nil for a plain service.
func NewService(name string, engine *Engine) Service { return Service{name: name, engine: engine} }

// Name returns the unique name.
func (s Service) Name() string { return s.name }

// Engine returns how the runners execute a model, nil for a plain service.
func (s Service) Engine() *Engine { return s.engine }

// EngineSpec holds the fields from which NewEngine builds an engine.
type EngineSpec struct {
	Model     string
	Layers    int
	LayerMB   float64       // memory of one layer in MB
	TokenKB   float64       // KV cache of one token and layer in kB
	Step      time.Duration // time of a token through all layers at pace 1
	Load      time.Duration // time to load all layers
	PromptLen float64       // usual tokens of a prompt
	AnswerLen float64       // usual tokens of an answer
	Crossing  time.Duration // time that the usual prompt takes the pipe between two data centres
	Kinds     []Kind
}

// Engine says how the runners of a service execute a model of which each holds a range of layers.
type Engine struct {
	spec  EngineSpec
	kinds map[string]Kind
}

// NewEngine returns an engine with the fields of s.
func NewEngine(s EngineSpec) *Engine {
	e := &Engine{spec: s, kinds: map[string]Kind{}}
	for _, k := range s.Kinds {
		e.kinds[k.Name()] = k
	}
	return e
}

// Model returns the name of the model.
func (e *Engine) Model() string { return e.spec.Model }

// Layers returns the number of layers of the model.
func (e *Engine) Layers() int { return e.spec.Layers }

// LayerMB returns the memory of one layer in MB.
func (e *Engine) LayerMB() float64 { return e.spec.LayerMB }

// TokenMB returns the KV cache of one token and layer in MB.
func (e *Engine) TokenMB() float64 { return e.spec.TokenKB / 1000 }

// Step returns the time of a token through all layers at pace 1.
func (e *Engine) Step() time.Duration { return e.spec.Step }

// Load returns the time to load all layers.
func (e *Engine) Load() time.Duration { return e.spec.Load }

// Crossing returns how long the usual prompt occupies the pipe between two data centres.
func (e *Engine) Crossing() time.Duration { return e.spec.Crossing }

// RequestTokens returns the usual tokens of a request with its answer.
func (e *Engine) RequestTokens() float64 { return e.spec.PromptLen + e.spec.AnswerLen }

// Kind returns the kind of accelerator of that name.
func (e *Engine) Kind(name string) (k Kind, ok bool) {
	k, ok = e.kinds[name]
	return k, ok
}

// Kind is a kind of accelerator.
type Kind struct {
	name   string
	memory float64
	pace   float64
}

// NewKind returns a kind with its memory in MB and the factor on the time of a step.
func NewKind(name string, memory, pace float64) Kind {
	return Kind{name: name, memory: memory, pace: pace}
}

// Name returns the unique name.
func (k Kind) Name() string { return k.name }

// MemoryMB returns the memory in MB.
func (k Kind) MemoryMB() float64 { return k.memory }

// Pace returns the factor on the time of a step.
func (k Kind) Pace() float64 { return k.pace }

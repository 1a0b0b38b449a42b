package bergamotconfig

import "time"

// Service is a set of interchangeable runners, or of runners that execute the layers of one model.
type Service struct {
	name       string
	engine     *Engine
	healthPath string
}

// NewService returns a service; engine is nil for a plain service, whose runners hold no layers of a model.
func NewService(name string, engine *Engine) Service { return Service{name: name, engine: engine} }

// WithHealthPath returns a copy of s whose runners tell at a path whether they may have work.
func (s Service) WithHealthPath(path string) Service {
	s.healthPath = path
	return s
}

// HealthPath returns the path at which the runners tell whether they may have work, empty if it is not declared.
func (s Service) HealthPath() string { return s.healthPath }

// Name returns the unique name.
func (s Service) Name() string { return s.name }

// Engine returns the model engine of the runners, nil for a plain service.
func (s Service) Engine() *Engine { return s.engine }

// EngineSpec holds the fields from which NewEngine builds an engine.
type EngineSpec struct {
	Model        string
	Layers       int
	LayerMB      float64       // memory per layer in MB
	TokenKB      float64       // KV cache per token and layer in kB
	StepTime     time.Duration // time of one token through all layers on an accelerator with pace 1
	LoadTime     time.Duration // time to load all layers
	PromptTokens float64       // typical number of tokens in a prompt
	AnswerTokens float64       // typical number of tokens in an answer
	CrossingTime time.Duration // time for which a typical prompt occupies the link between two data centres, 0 if unknown
	Accelerators []Accelerator
}

// Engine describes how the runners of a service, each holding a range of layers, execute a model.
type Engine struct {
	spec         EngineSpec
	accelerators map[string]Accelerator
}

// NewEngine returns an engine with the fields of s.
func NewEngine(s EngineSpec) *Engine {
	e := &Engine{spec: s, accelerators: map[string]Accelerator{}}
	for _, a := range s.Accelerators {
		e.accelerators[a.Name()] = a
	}
	return e
}

// Model returns the name of the model.
func (e *Engine) Model() string { return e.spec.Model }

// Layers returns the number of layers of the model.
func (e *Engine) Layers() int { return e.spec.Layers }

// LayerMB returns the memory per layer in MB.
func (e *Engine) LayerMB() float64 { return e.spec.LayerMB }

// TokenMB returns the KV cache per token and layer in MB.
func (e *Engine) TokenMB() float64 { return e.spec.TokenKB / 1000 }

// StepTime returns the time of one token through all layers on an accelerator with pace 1.
func (e *Engine) StepTime() time.Duration { return e.spec.StepTime }

// LoadTime returns the time to load all layers.
func (e *Engine) LoadTime() time.Duration { return e.spec.LoadTime }

// CrossingTime returns the time for which a typical prompt occupies the link between two data centres, 0 if unknown.
func (e *Engine) CrossingTime() time.Duration { return e.spec.CrossingTime }

// AnswerTokens returns the typical number of tokens in an answer.
func (e *Engine) AnswerTokens() float64 { return e.spec.AnswerTokens }

// RequestTokens returns the typical number of tokens in a request and its answer.
func (e *Engine) RequestTokens() float64 { return e.spec.PromptTokens + e.spec.AnswerTokens }

// Accelerator returns the kind of accelerator with the given name.
func (e *Engine) Accelerator(name string) (a Accelerator, ok bool) {
	a, ok = e.accelerators[name]
	return a, ok
}

// Accelerator is a kind of accelerator.
type Accelerator struct {
	name     string
	memoryMB float64
	pace     float64
}

// NewAccelerator returns a kind of accelerator with its memory in MB and its pace.
func NewAccelerator(name string, memoryMB, pace float64) Accelerator {
	return Accelerator{name: name, memoryMB: memoryMB, pace: pace}
}

// Name returns the unique name.
func (a Accelerator) Name() string { return a.name }

// MemoryMB returns the memory in MB.
func (a Accelerator) MemoryMB() float64 { return a.memoryMB }

// Pace returns the factor by which the step time of the engine is multiplied; a pace of 2 takes twice as long.
func (a Accelerator) Pace() float64 { return a.pace }

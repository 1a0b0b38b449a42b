package bergamotbundle

import (
	"math"
	"time"

	"bergamotspur/core/bergamotini"
)

// Bounds that keep a mistyped number from reaching the fleet.
const (
	maxLayers   = 1000
	maxWidth    = 1 << 20
	maxLimit    = 1 << 20
	maxReplicas = 10000
	maxDeadline = 24 * time.Hour
	maxRate     = 1e9
	// The approvals of all operators fit into the row of the head.
	maxOperators = 100
)

// Defaults of a pipeline.
const (
	defaultLimit    = 512 // tokens
	defaultDeadline = time.Minute
)

// Parse returns the bundle in text, or bergamotini.Faults with everything that is wrong in it.
func Parse(name string, text []byte) (b *Bundle, err error) {
	doc := bergamotini.Parse(name, text)
	p := &parser{bundle: &Bundle{
		digest: Digest(text), text: text, needed: 1, policy: Policy{throughput: 1, recovery: 1, crest: 1, blocking: 1},
		models: map[string]Model{}, adapters: map[string]Adapter{}, pipelines: map[string]Pipeline{},
		services: map[string]Service{}, workspaces: map[string]Workspace{}, operators: map[string]Operator{},
		kinds: map[string]Kind{}, byKey: map[string]string{},
	}}
	p.sections(doc.Sections())
	if len(p.bundle.operators) > maxOperators {
		doc.Fault("%d operators are named, at most %d are allowed", len(p.bundle.operators), maxOperators)
	}
	if p.bundle.version == 0 {
		doc.Fault("section [bundle] with a version is required")
	}
	if n := len(p.bundle.operators); n < p.bundle.needed {
		doc.Fault("%d approvals are needed, but %d operators are named", p.bundle.needed, n)
	}
	if err = doc.Faults(); err != nil {
		return nil, err
	}
	return p.bundle, nil
}

type parser struct{ bundle *Bundle }

// sections reads all sections. They may refer to others in any order, so that each kind is read after those
// it refers to.
func (p *parser) sections(sections []*bergamotini.Section) {
	byKind := map[string][]*bergamotini.Section{}
	for _, s := range sections {
		byKind[s.Kind()] = append(byKind[s.Kind()], s)
	}
	for _, r := range []struct {
		kind string
		read func(*bergamotini.Section)
	}{
		{"bundle", p.head},
		{"policy", p.policy},
		{"kind", p.kind},
		{"model", p.model},
		{"adapter", p.adapter},
		{"pipeline", p.pipeline},
		{"service", p.service},
		{"operator", p.operator},
		{"workspace", p.workspace},
	} {
		single := r.kind == "bundle" || r.kind == "policy"
		for _, s := range byKind[r.kind] {
			switch {
			case single && s.Name() != "":
				s.Fault("", "section takes no name")
			case !single && s.Name() == "":
				s.Fault("", "section needs a name, as in [%s example]", r.kind)
			}
			r.read(s)
			s.Done()
		}
		delete(byKind, r.kind)
	}
	for _, rest := range byKind {
		for _, s := range rest {
			s.Fault("", "unknown section")
		}
	}
}

func (p *parser) head(s *bergamotini.Section) {
	p.bundle.version = int64(s.Int("version", 0, 1, math.MaxInt32))
	p.bundle.parent = s.Text("parent", "")
	p.bundle.needed = s.Int("needed", 1, 1, maxOperators)
	if s.Text("version", "") == "" {
		s.Fault("version", "is required")
	}
	switch {
	case p.bundle.version > 1 && p.bundle.parent == "":
		s.Fault("parent", "is required from version 2 on")
	case p.bundle.version == 1 && p.bundle.parent != "":
		s.Fault("parent", "version 1 has no parent")
	case p.bundle.parent != "" && !IsDigest(p.bundle.parent):
		s.Fault("parent", "is not a SHA-256 digest in lower-case hexadecimal")
	}
}

func (p *parser) policy(s *bergamotini.Section) {
	p.bundle.policy = Policy{
		throughput: s.Float("throughput", 1, 0, 100), recovery: s.Float("recovery", 1, 0, 100),
		crest: s.Float("crest", 1, 0, 100), blocking: s.Float("blocking", 1, 0, 100),
	}
}

func (p *parser) kind(s *bergamotini.Section) {
	p.bundle.kinds[s.Name()] = Kind{
		name: s.Name(), step: s.Float("step", 1000, 0.1, 1e7), slope: s.Float("slope", 100, 0, 1e7),
	}
}

func (p *parser) model(s *bergamotini.Section) {
	m := Model{
		name: s.Name(), version: s.Text("version", "1"), layers: s.Int("layers", 0, 1, maxLayers),
		width: s.Int("width", 8192, 1, maxWidth),
	}
	if !s.Has("layers") {
		s.Fault("layers", "is required")
	}
	p.bundle.models[m.name] = m
}

func (p *parser) adapter(s *bergamotini.Section) {
	a := Adapter{name: s.Name(), model: s.Need("model"), version: s.Text("version", "1")}
	if _, ok := p.bundle.models[a.model]; a.model != "" && !ok {
		s.Fault("model", "no model %q", a.model)
	}
	p.bundle.adapters[a.name] = a
	// Callers may name an adapter as they name a pipeline; a pipeline section of that name takes precedence.
	p.bundle.pipelines[a.name] = Pipeline{
		name: a.name, model: p.bundle.models[a.model], adapter: a.name,
		replicas: 1, limit: defaultLimit, deadline: defaultDeadline,
	}
}

func (p *parser) pipeline(s *bergamotini.Section) {
	l := Pipeline{
		name: s.Name(), adapter: s.Text("adapter", ""), priority: s.Int("priority", 0, -10, 10),
		replicas: s.Int("replicas", 1, 1, maxReplicas), limit: s.Int("limit", defaultLimit, 1, maxLimit),
		deadline: s.Duration("deadline", defaultDeadline, time.Millisecond, maxDeadline),
	}
	name := s.Need("model")
	m, ok := p.bundle.models[name]
	if name != "" && !ok {
		s.Fault("model", "no model %q", name)
	}
	l.model = m
	a, ok := p.bundle.adapters[l.adapter]
	switch {
	case l.adapter == "":
	case !ok:
		s.Fault("adapter", "no adapter %q", l.adapter)
	case a.model != name:
		s.Fault("adapter", "adapter %q belongs to model %q", l.adapter, a.model)
	}
	p.bundle.pipelines[l.name] = l
}

func (p *parser) service(s *bergamotini.Section) {
	v := Service{
		name: s.Name(), once: s.List("once"), repeat: s.List("repeat"), ask: s.Text("ask", ""),
		deadline: s.Duration("deadline", 10*time.Second, time.Millisecond, maxDeadline),
	}
	for _, call := range v.repeat {
		if v.Once(call) {
			s.Fault("repeat", "call %q is also under once", call)
		}
	}
	if len(v.once)+len(v.repeat) == 0 {
		s.Fault("", "service has no calls under once or repeat")
	}
	p.bundle.services[v.name] = v
}

func (p *parser) operator(s *bergamotini.Section) {
	o, err := ParseOperator(s.Name(), s.Need("key"))
	if err != nil {
		s.Fault("key", "%s", err)
		return
	}
	for _, other := range p.bundle.operators {
		if other.key.Equal(o.key) {
			// One key under two names would count as two approvals.
			s.Fault("key", "key already belongs to operator %q", other.name)
		}
	}
	p.bundle.operators[o.name] = o
}

func (p *parser) workspace(s *bergamotini.Section) {
	w := Workspace{
		name: s.Name(), keys: s.List("keys"), pipelines: s.List("pipelines"), services: s.List("services"),
		rate: s.Float("rate", 10, 0.001, maxRate), tokens: s.Float("tokens", 1000, 0.001, maxRate),
		weight: s.Float("weight", 1, 0.001, 1e6),
	}
	if len(w.keys) == 0 {
		s.Fault("keys", "is required")
	}
	for _, key := range w.keys {
		if !IsDigest(key) {
			s.Fault("keys", "%q is not a SHA-256 digest in lower-case hexadecimal", key)
		}
		if other, ok := p.bundle.byKey[key]; ok {
			s.Fault("keys", "key already belongs to workspace %q", other)
		}
		p.bundle.byKey[key] = w.name
	}
	for _, name := range w.pipelines {
		if !p.hasPipeline(name) {
			s.Fault("pipelines", "no pipeline or adapter %q", name)
		}
	}
	for _, name := range w.services {
		if _, ok := p.bundle.services[name]; !ok && name != "*" {
			s.Fault("services", "no service %q", name)
		}
	}
	p.bundle.workspaces[w.name] = w
}

func (p *parser) hasPipeline(name string) bool {
	_, ok := p.bundle.pipelines[name]
	return ok || name == "*"
}

package bergamotbundle

import (
	"math"
	"time"

	"bergamotspur/core/bergamotini"
)

// Upper limits that reject mistyped numbers.
const (
	maxLayers           = 1000
	maxHiddenStateBytes = 1 << 20
	maxTokenLimit       = 1 << 20
	maxReplicas         = 10000
	maxDeadline         = 24 * time.Hour
	maxRate             = 1e9
	// maxOperators keeps the row of the head small enough to hold the approvals of all operators.
	maxOperators = 100
)

// Default values of a pipeline.
const (
	defaultAnswerTokens = 512 // tokens
	defaultDeadline     = time.Minute
)

// Parse returns the bundle in text, or bergamotini.Faults with every fault in it; name stands for the file in faults.
func Parse(name string, text []byte) (b *Bundle, err error) {
	doc := bergamotini.Parse(name, text)
	p := &parser{bundle: &Bundle{
		digest: Digest(text), text: text, needed: 1, policy: Policy{throughput: 1, recovery: 1, peak: 1, blocking: 1},
		models: map[string]Model{}, adapters: map[string]Adapter{}, pipelines: map[string]Pipeline{},
		services: map[string]Service{}, workspaces: map[string]Workspace{}, operators: map[string]Operator{},
		kinds: map[string]Kind{}, workspaceByKey: map[string]string{},
	}}
	p.sections(doc.Sections())
	if len(p.bundle.operators) > maxOperators {
		doc.AddFault("%d operators are named, at most %d are allowed", len(p.bundle.operators), maxOperators)
	}
	if p.bundle.version == 0 {
		doc.AddFault("section [bundle] with a version is required")
	}
	if n := len(p.bundle.operators); n < p.bundle.needed {
		doc.AddFault("%d approvals are needed, but %d operators are named", p.bundle.needed, n)
	}
	if err = doc.Faults(); err != nil {
		return nil, err
	}
	return p.bundle, nil
}

type parser struct{ bundle *Bundle }

// sections reads all sections. A section may refer to one that comes later in the text, so that each kind of section is
// read after the kinds that it refers to.
func (p *parser) sections(sections []*bergamotini.Section) {
	sectionsByKind := map[string][]*bergamotini.Section{}
	for _, s := range sections {
		sectionsByKind[s.Kind()] = append(sectionsByKind[s.Kind()], s)
	}
	for _, r := range []struct {
		kind string
		read func(*bergamotini.Section)
	}{
		{"bundle", p.bundleSection},
		{"policy", p.policy},
		{"kind", p.kind},
		{"model", p.model},
		{"adapter", p.adapter},
		{"pipeline", p.pipeline},
		{"service", p.service},
		{"operator", p.operator},
		{"workspace", p.workspace},
	} {
		unnamed := r.kind == "bundle" || r.kind == "policy"
		for _, s := range sectionsByKind[r.kind] {
			switch {
			case unnamed && s.Name() != "":
				s.AddFault("", "section takes no name")
			case !unnamed && s.Name() == "":
				s.AddFault("", "section needs a name, as in [%s example]", r.kind)
			}
			r.read(s)
			s.FaultUnknownKeys()
		}
		delete(sectionsByKind, r.kind)
	}
	for _, rest := range sectionsByKind {
		for _, s := range rest {
			s.AddFault("", "unknown section")
		}
	}
}

func (p *parser) bundleSection(s *bergamotini.Section) {
	p.bundle.version = int64(s.Int("version", 0, 1, math.MaxInt32))
	p.bundle.parent = s.Text("parent", "")
	p.bundle.needed = s.Int("needed", 1, 1, maxOperators)
	if s.Text("version", "") == "" {
		s.AddFault("version", "is required")
	}
	switch {
	case p.bundle.version > 1 && p.bundle.parent == "":
		s.AddFault("parent", "is required from version 2 on")
	case p.bundle.version == 1 && p.bundle.parent != "":
		s.AddFault("parent", "version 1 has no parent")
	case p.bundle.parent != "" && !IsDigest(p.bundle.parent):
		s.AddFault("parent", "is not a SHA-256 digest in lower-case hexadecimal")
	}
}

func (p *parser) policy(s *bergamotini.Section) {
	p.bundle.policy = Policy{
		throughput: s.Float("throughput", 1, 0, 100), recovery: s.Float("recovery", 1, 0, 100),
		peak: s.Float("crest", 1, 0, 100), blocking: s.Float("blocking", 1, 0, 100),
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
		hiddenStateBytes: s.Int("width", 8192, 1, maxHiddenStateBytes),
	}
	if !s.Has("layers") {
		s.AddFault("layers", "is required")
	}
	p.bundle.models[m.name] = m
}

func (p *parser) adapter(s *bergamotini.Section) {
	a := Adapter{name: s.Name(), model: s.Required("model"), version: s.Text("version", "1")}
	if _, ok := p.bundle.models[a.model]; a.model != "" && !ok {
		s.AddFault("model", "no model %q", a.model)
	}
	p.bundle.adapters[a.name] = a
	// A request may name an adapter like a pipeline; a pipeline section with that name takes precedence.
	p.bundle.pipelines[a.name] = Pipeline{
		name: a.name, model: p.bundle.models[a.model], adapter: a.name,
		replicas: 1, maxAnswerTokens: defaultAnswerTokens, deadline: defaultDeadline,
	}
}

func (p *parser) pipeline(s *bergamotini.Section) {
	pl := Pipeline{
		name: s.Name(), adapter: s.Text("adapter", ""), priority: s.Int("priority", 0, -10, 10),
		replicas: s.Int("replicas", 1, 1, maxReplicas), maxAnswerTokens: s.Int("limit", defaultAnswerTokens, 1, maxTokenLimit),
		deadline: s.Duration("deadline", defaultDeadline, time.Millisecond, maxDeadline),
	}
	name := s.Required("model")
	m, ok := p.bundle.models[name]
	if name != "" && !ok {
		s.AddFault("model", "no model %q", name)
	}
	pl.model = m
	a, ok := p.bundle.adapters[pl.adapter]
	switch {
	case pl.adapter == "":
	case !ok:
		s.AddFault("adapter", "no adapter %q", pl.adapter)
	case a.model != name:
		s.AddFault("adapter", "adapter %q belongs to model %q", pl.adapter, a.model)
	}
	p.bundle.pipelines[pl.name] = pl
}

func (p *parser) service(s *bergamotini.Section) {
	svc := Service{
		name: s.Name(), onceCalls: s.List("once"), repeatableCalls: s.List("repeat"), outcomeCall: s.Text("ask", ""),
		deadline: s.Duration("deadline", 10*time.Second, time.Millisecond, maxDeadline),
	}
	for _, call := range svc.repeatableCalls {
		if svc.RunsOnce(call) {
			s.AddFault("repeat", "call %q is also under once", call)
		}
	}
	if len(svc.onceCalls)+len(svc.repeatableCalls) == 0 {
		s.AddFault("", "service has no calls under once or repeat")
	}
	p.bundle.services[svc.name] = svc
}

func (p *parser) operator(s *bergamotini.Section) {
	o, err := ParseOperator(s.Name(), s.Required("key"))
	if err != nil {
		s.AddFault("key", "%s", err)
		return
	}
	for _, other := range p.bundle.operators {
		if other.key.Equal(o.key) {
			// One key under two names would count as two approvals.
			s.AddFault("key", "key already belongs to operator %q", other.name)
		}
	}
	p.bundle.operators[o.name] = o
}

func (p *parser) workspace(s *bergamotini.Section) {
	w := Workspace{
		name: s.Name(), keys: s.List("keys"), pipelines: s.List("pipelines"), services: s.List("services"),
		requestRate: s.Float("rate", 10, 0.001, maxRate), tokenRate: s.Float("tokens", 1000, 0.001, maxRate),
		weight: s.Float("weight", 1, 0.001, 1e6),
	}
	if len(w.keys) == 0 {
		s.AddFault("keys", "is required")
	}
	for _, key := range w.keys {
		if !IsDigest(key) {
			s.AddFault("keys", "%q is not a SHA-256 digest in lower-case hexadecimal", key)
		}
		if other, ok := p.bundle.workspaceByKey[key]; ok {
			s.AddFault("keys", "key already belongs to workspace %q", other)
		}
		p.bundle.workspaceByKey[key] = w.name
	}
	for _, name := range w.pipelines {
		if !p.hasPipeline(name) {
			s.AddFault("pipelines", "no pipeline or adapter %q", name)
		}
	}
	for _, name := range w.services {
		if _, ok := p.bundle.services[name]; !ok && name != "*" {
			s.AddFault("services", "no service %q", name)
		}
	}
	p.bundle.workspaces[w.name] = w
}

func (p *parser) hasPipeline(name string) bool {
	_, ok := p.bundle.pipelines[name]
	return ok || name == "*"
}

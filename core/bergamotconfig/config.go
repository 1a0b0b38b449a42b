package bergamotconfig

import (
	"slices"
	"strings"
	"time"
)

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	Header     int           // bytes of a request header, 0 for the default of the server
	Body       int64         // bytes of a request body, 0 for no limit
	HeaderTime time.Duration // time to send a header
	IdleTime   time.Duration // time that a connection may stay idle
}

// Workspace is a caller's account.
type Workspace struct {
	name     string
	priority int
	ranked   bool
}

// NewWorkspace returns a workspace without a priority of its own.
func NewWorkspace(name string) Workspace { return Workspace{name: name} }

// WithPriority returns a copy whose requests have a priority that goes before that of the route.
func (w Workspace) WithPriority(p int) Workspace {
	w.priority, w.ranked = p, true
	return w
}

// Name returns the unique name.
func (w Workspace) Name() string { return w.name }

// Priority returns the priority of the workspace's requests; ok is false when the route decides.
func (w Workspace) Priority() (p int, ok bool) { return w.priority, w.ranked }

// Spec holds the fields from which New builds a configuration.
type Spec struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	Keyed    bool                 // requests need a key unless their route is public
	Keys     map[string]Workspace // workspaces by key
}

// Config is one version of the configuration; it never changes.
type Config struct {
	spec     Spec
	hosts    map[string][]Route // longest prefix first
	services map[string]Service
}

// New returns a configuration with the fields of s.
func New(s Spec) *Config {
	c := &Config{spec: s, hosts: map[string][]Route{}, services: map[string]Service{}}
	for _, r := range s.Routes {
		c.hosts[r.Host()] = append(c.hosts[r.Host()], r)
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.Prefix()) - len(a.Prefix()) })
	}
	for _, v := range s.Services {
		c.services[v.Name()] = v
	}
	return c
}

// Version returns the version; a newer configuration has a larger one.
func (c *Config) Version() int64 { return c.spec.Version }

// Limits returns what callers may send.
func (c *Config) Limits() Limits { return c.spec.Limits }

// Keyed tells whether requests need a key unless their route is public.
func (c *Config) Keyed() bool { return c.spec.Keyed }

// Workspace returns the workspace that holds a key.
func (c *Config) Workspace(key string) (w Workspace, ok bool) {
	w, ok = c.spec.Keys[key]
	return w, ok
}

// Service returns the service of that name.
func (c *Config) Service(name string) (s Service, ok bool) {
	s, ok = c.services[name]
	return s, ok
}

// Services returns all services; the caller must not change the slice.
func (c *Config) Services() []Service { return c.spec.Services }

// Match returns the route with the longest prefix that begins the path.
func (c *Config) Match(host, path string) (r Route, ok bool) {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix()) {
			return r, true
		}
	}
	return Route{}, false
}

package bergamotconfig

import (
	"slices"
	"strings"
	"time"
)

// Limits bound the size of requests and the time that callers may take to send them.
type Limits struct {
	MaxHeaderBytes int           // size of a request header, 0 for the default of the server
	MaxBodyBytes   int64         // size of a request body, 0 for no limit
	HeaderTimeout  time.Duration // time allowed to send a request header
	IdleTimeout    time.Duration // time after which an idle connection is closed
}

// Workspace is a caller's account.
type Workspace struct {
	name        string
	priority    int
	hasPriority bool
}

// NewWorkspace returns a workspace without a priority of its own.
func NewWorkspace(name string) Workspace { return Workspace{name: name} }

// WithPriority returns a copy of w whose priority overrides that of the route.
func (w Workspace) WithPriority(p int) Workspace {
	w.priority, w.hasPriority = p, true
	return w
}

// Name returns the unique name.
func (w Workspace) Name() string { return w.name }

// Priority returns the priority of requests of the workspace; ok is false if the priority of the route applies.
func (w Workspace) Priority() (p int, ok bool) { return w.priority, w.hasPriority }

// Spec holds the fields from which New builds a configuration.
type Spec struct {
	Version     int64
	Routes      []Route
	Services    []Service
	Limits      Limits
	RequiresKey bool                 // requests need an API key unless their route is public
	Keys        map[string]Workspace // workspaces by API key
}

// Config is an immutable version of the configuration.
type Config struct {
	spec           Spec
	routesByHost   map[string][]Route // sorted by descending length of the prefix
	servicesByName map[string]Service
	priorities     map[string]Priorities // by service

	routesOutOfRange, keysOutOfRange int // number of those with a priority out of range
}

// New returns a configuration with the fields of s.
func New(s Spec) *Config {
	c := &Config{spec: s, routesByHost: map[string][]Route{}, servicesByName: map[string]Service{}}
	for _, r := range s.Routes {
		c.routesByHost[r.Host()] = append(c.routesByHost[r.Host()], r)
	}
	for _, list := range c.routesByHost {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.Prefix()) - len(a.Prefix()) })
	}
	for _, v := range s.Services {
		c.servicesByName[v.Name()] = v
	}
	c.setPriorities()
	return c
}

// Version returns the version number, which increases with every change.
func (c *Config) Version() int64 { return c.spec.Version }

// Limits returns the limits on the requests of callers.
func (c *Config) Limits() Limits { return c.spec.Limits }

// RequiresKey reports whether requests need an API key unless their route is public.
func (c *Config) RequiresKey() bool { return c.spec.RequiresKey }

// Workspace returns the workspace of an API key.
func (c *Config) Workspace(key string) (w Workspace, ok bool) {
	w, ok = c.spec.Keys[key]
	return w, ok
}

// Service returns the service with the given name.
func (c *Config) Service(name string) (s Service, ok bool) {
	s, ok = c.servicesByName[name]
	return s, ok
}

// Services returns all services; the caller must not change the slice.
func (c *Config) Services() []Service { return c.spec.Services }

// Match returns the route of host with the longest prefix of path.
func (c *Config) Match(host, path string) (r Route, ok bool) {
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix()) {
			return r, true
		}
	}
	return Route{}, false
}

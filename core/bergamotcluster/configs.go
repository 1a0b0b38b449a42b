package bergamotcluster

import (
	"time"

	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotstore"
)

// ConfigDecoder reads a configuration from the row that the operator writes.
type ConfigDecoder interface {
	Config(value []byte) (*bergamotconfig.Config, error)
}

// Configs takes the configuration from the operator's table.
type Configs struct {
	Key     string // of the row with the newest configuration
	Decoder ConfigDecoder
	Report  func(version int64, err error) // called for each configuration that is read
}

// Replace takes the row of the configuration.
func (c *Configs) Replace(s *State, rows []bergamotstore.Row) {
	for _, r := range rows {
		c.take(s, r)
	}
}

// Change takes the row of the configuration.
func (c *Configs) Change(s *State, change bergamotstore.Change) {
	if !change.Gone() {
		c.take(s, change.Row())
	}
}

// Resume does nothing: a configuration does not lapse.
func (c *Configs) Resume(*State, time.Duration) {}

// Confirm records that the configuration is current.
func (c *Configs) Confirm(s *State, at time.Duration) {
	if s.Config() != nil {
		s.Confirm(at)
	}
}

func (c *Configs) take(s *State, r bergamotstore.Row) {
	if r.Key() != c.Key {
		return
	}
	cfg, err := c.Decoder.Config(r.Value())
	if err != nil {
		c.Report(0, err)
		return
	}
	if s.SetConfig(cfg) {
		c.Report(cfg.Version(), nil)
	}
}

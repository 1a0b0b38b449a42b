package bergamotcluster

import (
	"time"

	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotstore"
)

// ConfigDecoder decodes the configuration that the operator stores in a row.
type ConfigDecoder interface {
	Config(value []byte) (*bergamotconfig.Config, error)
}

// ConfigHandler is the table handler that reads the configuration from the operator's table.
type ConfigHandler struct {
	Key      string // of the row with the newest configuration
	Decoder  ConfigDecoder
	OnConfig func(version int64, err error) // called for each configuration that takes effect or cannot be decoded
}

// EraChanged records the new era.
func (c *ConfigHandler) EraChanged(s *State, _, to int64) { s.enterEra(to) }

// Replace puts the configuration in force that the rows contain.
func (c *ConfigHandler) Replace(s *State, rows []bergamotstore.Row) {
	for _, r := range rows {
		c.applyRow(s, r)
	}
}

// ApplyChange puts the configuration in force that the change contains; the deletion of the row is ignored.
func (c *ConfigHandler) ApplyChange(s *State, change bergamotstore.Change) {
	if !change.Deleted() {
		c.applyRow(s, change.Row())
	}
}

// ReadsResumed does nothing: a configuration does not expire.
func (c *ConfigHandler) ReadsResumed(*State, time.Duration) {}

// ConfirmCurrent records when the configuration was current.
func (c *ConfigHandler) ConfirmCurrent(s *State, at time.Duration) {
	if s.Config() != nil {
		s.ConfirmConfig(at)
	}
}

func (c *ConfigHandler) applyRow(s *State, r bergamotstore.Row) {
	if r.Key() != c.Key {
		return
	}
	cfg, err := c.Decoder.Config(r.Value())
	if err != nil {
		c.OnConfig(0, err)
		return
	}
	if s.SetConfig(cfg) {
		c.OnConfig(cfg.Version(), nil)
	}
}

package bergamotcluster

import (
	"bytes"
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
	OnLimits func(bergamotconfig.Limits)    // called with the limits of each configuration that takes effect; nil for none
	// OnLost is called when the version in the store, 0 for none, becomes older than the one in force or is not known, as after a restore from an
	// older copy until the operator writes it again, and with lost false when it is no more; nil for none.
	OnLost func(inForce, stored int64, lost bool)

	era   int64                  // of the rows, 0 before the first restore
	at    bergamotstore.Position // of the row with the configuration in force
	value []byte                 // of that row
	lost  bool                   // whether OnLost was called last with that
}

// EraChanged records the new era, in which the operator may give a version out again with another content.
func (c *ConfigHandler) EraChanged(s *State, _, to int64) {
	s.enterEra(to)
	c.era = to
}

// Replace puts the configuration in force that the rows contain.
func (c *ConfigHandler) Replace(s *State, rows []bergamotstore.Row) {
	present := false
	for _, r := range rows {
		present = present || r.Key() == c.Key
		c.applyRow(s, r)
	}
	if !present {
		c.recordStored(s, 0)
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

func (c *ConfigHandler) tookEffect(cfg *bergamotconfig.Config) {
	c.OnConfig(cfg.Version(), nil)
	if c.OnLimits != nil {
		c.OnLimits(cfg.Limits())
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
	at := bergamotstore.NewPosition(c.era, r.Revision())
	switch {
	case s.SetConfig(cfg):
		c.at, c.value = at, r.Value()
		c.tookEffect(cfg)
	case cfg.Version() == s.Config().Version() && at.Compare(c.at) > 0:
		if !bytes.Equal(r.Value(), c.value) {
			s.replaceConfig(cfg)
			c.tookEffect(cfg)
		}
		c.at, c.value = at, r.Value()
	}
	stored := cfg.Version()
	if r.Era() != 0 && r.Era() < c.era {
		stored = 0 // a content of an earlier era that only the copies of entries still have
	}
	c.recordStored(s, stored)
}

// recordStored compares the version in the store with the one in force.
func (c *ConfigHandler) recordStored(s *State, stored int64) {
	if s.Config() == nil || c.OnLost == nil {
		return
	}
	if lost := stored < s.Config().Version(); lost != c.lost {
		c.lost = lost
		c.OnLost(s.Config().Version(), stored, lost)
	}
}

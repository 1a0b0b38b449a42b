package bergamotclaim_test

import (
	"context"
	"errors"

	"bergamotspur/core/bergamotstore"
)

// fate is what happens to one operation of a fake.
type fate int

const (
	fateOK     fate = iota
	fateDown        // an error without an effect
	fateLost        // an error after the effect
	fateLate        // an error now and the effect when deliver is called
	fateDouble      // the effect now and a second copy when deliver is called
	fateReject      // the service answers that it does not accept the write
)

var errFault = errors.New("injected fault")

// hook decides the fate of an operation: "read", "swap", "put" or "fetch".
type hook func(ctx context.Context, op string) fate

// memTable is a table in memory.
type memTable struct {
	rows   map[string]bergamotstore.Row
	hook   hook
	late   []func()
	swaps  int // writes that were sent
	reads  int
	effect int // writes that took effect
	most   int // most writes of one process that took effect
}

func (t *memTable) Read(ctx context.Context, key string) (bergamotstore.Row, error) {
	t.reads++
	if t.hook(ctx, "read") != fateOK {
		return bergamotstore.Row{}, errFault
	}
	return t.row(key), nil
}

func (t *memTable) CompareAndSet(ctx context.Context, key string, revision int64, value []byte) (bergamotstore.Row, bool, error) {
	t.swaps++
	apply := func() (bergamotstore.Row, bool) {
		if t.row(key).Revision() != revision {
			return t.row(key), false
		}
		t.effect++
		if p, ok := ctx.Value(processKey{}).(*process); ok {
			p.writes++
			t.most = max(t.most, p.writes)
		}
		t.rows[key] = bergamotstore.NewRow(key, revision+1, value)
		return t.rows[key], true
	}
	row, ok, err := bergamotstore.Row{}, false, errFault
	switch t.hook(ctx, "swap") {
	case fateOK:
		row, ok = apply()
		err = nil
	case fateLost:
		apply()
	case fateLate:
		t.late = append(t.late, func() { apply() })
	case fateDouble:
		row, ok = apply()
		err = nil
		t.late = append(t.late, func() { apply() })
	case fateReject:
		err = bergamotstore.ErrRejected
	}
	return row, ok, err
}

func (t *memTable) row(key string) bergamotstore.Row {
	if row, ok := t.rows[key]; ok {
		return row
	}
	return bergamotstore.NewRow(key, 0, nil)
}

func (t *memTable) deliver() {
	late := t.late
	t.late = nil
	for _, f := range late {
		f()
	}
}

// Page lists rows in the order of their keys.
func (t *memTable) Page(_ context.Context, _, after string, limit int) (rows []bergamotstore.Row, err error) {
	for _, key := range sortedKeys(t.rows) {
		if key > after && len(rows) < limit {
			rows = append(rows, t.rows[key])
		}
	}
	return rows, nil
}

// memObjects is an object store in memory.
type memObjects struct {
	data map[string][]byte
	hook hook
}

func (o *memObjects) Put(ctx context.Context, name string, data []byte) error {
	f := o.hook(ctx, "put")
	if f == fateOK || f == fateLost {
		o.data[name] = data
	}
	if f != fateOK {
		return errFault
	}
	return nil
}

func (o *memObjects) Fetch(ctx context.Context, name string) ([]byte, error) {
	data, ok := o.data[name]
	if f := o.hook(ctx, "fetch"); f != fateOK || !ok {
		return nil, errFault
	}
	return data, nil
}

type noCounter struct{}

func (noCounter) Count(string) {}

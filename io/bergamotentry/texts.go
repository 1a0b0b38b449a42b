package bergamotentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotmember"
	"bergamotspur/core/bergamotrollout"
	"bergamotspur/core/bergamotstore"
)

// Peers are asked one after another, the next one when one fails or has not answered within nextPeer. Those asked
// before go on, so that a slow link is no failure. maxAsked bounds the memory: each may send bergamotpeer.MaxText.
const (
	nextPeer  = time.Second
	maxAsked  = 3
	maxOthers = 4
)

// textClient asks one peer for the object of a bundle text.
type textClient interface {
	Fetch(ctx context.Context, from bergamotmember.Peer, name string) ([]byte, error)
}

// texts gives the bundle text in force to other entries and gets texts from those that have them in force.
type texts struct {
	client textClient
	self   string
	seeds  []bergamotmember.Peer
	view   func() *bergamotcontrol.View
	count  func(name string)
}

// Text returns the object of the bundle in force, or bergamotstore.ErrNotFound for another name.
func (t *texts) Text(name string) ([]byte, error) {
	return bergamotrollout.ObjectForPeer(t.view().Bundle(), name)
}

type fetched struct {
	data []byte
	err  error
}

// Fetch returns the object from the first peer whose data has the digest, or bergamotstore.ErrNotFound when no peer is
// left to ask.
func (t *texts) Fetch(ctx context.Context, name string) ([]byte, error) {
	return fetchText(ctx, t.client, t.holders(name), name, t.count)
}

func fetchText(ctx context.Context, client textClient, peers []bergamotmember.Peer, name string, count func(name string)) (data []byte, err error) {
	if len(peers) == 0 {
		return nil, bergamotstore.ErrNotFound
	}
	ctx, cancel := context.WithCancel(ctx)
	results, asked, waiting := make(chan fetched, maxAsked), 0, 0
	defer func() {
		cancel()
		for ; waiting > 0; waiting-- {
			<-results
		}
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for asked < len(peers) || waiting > 0 {
		next := timer.C
		if asked == len(peers) || waiting == maxAsked {
			next = nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.Join(err, ctx.Err())
		case <-next:
			peer := peers[asked]
			asked++
			waiting++
			timer.Reset(nextPeer)
			go func() {
				data, err := client.Fetch(ctx, peer, name)
				results <- fetched{data, err}
			}()
		case r := <-results:
			waiting--
			if r.err == nil && bergamotrollout.IsValidObject(name, r.data) {
				count("texts.peer")
				return r.data, nil
			}
			if r.err == nil {
				count("texts.invalid")
				r.err = errors.New("a peer gave another text than the one asked for")
			}
			err = errors.Join(err, r.err)
			timer.Reset(0)
		}
	}
	return nil, err
}

// holders returns peers in random order: first the live ones that said that they have the bundle, then maxOthers of the
// other live ones, since a member that lies about the head hides what the others have.
func (t *texts) holders(name string) (out []bergamotmember.Peer) {
	v := t.view()
	p := v.Members()
	if p == nil {
		return nil
	}
	addresses := map[string]string{}
	for _, s := range t.seeds {
		addresses[s.Name()] = s.Address()
	}
	for _, i := range v.Fleet().ByRole(bergamotfleet.RoleEntry) {
		addresses[i.Name()] = i.Address()
	}
	var others []bergamotmember.Peer
	for peer, address := range addresses {
		if s, ok := p.State(peer); peer == t.self || !ok || s != bergamotmember.Alive {
			continue
		}
		if h, ok := p.MemberHead(peer); ok && bergamotrollout.ObjectName(h.Digest()) == name {
			out = append(out, bergamotmember.NewPeer(peer, address))
		} else {
			others = append(others, bergamotmember.NewPeer(peer, address))
		}
	}
	for _, list := range [][]bergamotmember.Peer{out, others} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return append(out, others[:min(len(others), maxOthers)]...)
}

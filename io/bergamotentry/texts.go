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

// A fetch asks peers one after another: the next one as soon as one fails, or when nextPeerDelay passes without an answer.
// Earlier requests continue, so that a slow link does not count as a failure. maxConcurrentFetches bounds the memory,
// since each peer may send bergamotpeer.MaxTextBytes.
const (
	nextPeerDelay        = time.Second
	maxConcurrentFetches = 3
	maxOtherPeers        = 4
)

// textClient fetches the object that holds a bundle text from a peer.
type textClient interface {
	Fetch(ctx context.Context, from bergamotmember.Peer, name string) ([]byte, error)
}

// textExchange serves the text of the bundle in force to other entries and fetches bundle texts from them.
type textExchange struct {
	client    textClient
	self      string
	seedPeers []bergamotmember.Peer
	view      func() *bergamotcontrol.View
	count     func(name string)
}

// Text returns the object of the bundle in force, or bergamotstore.ErrNotFound for another name.
func (t *textExchange) Text(name string) ([]byte, error) {
	return bergamotrollout.ObjectForPeer(t.view().Bundle(), name)
}

// fetchResult is the answer of one peer.
type fetchResult struct {
	data []byte
	err  error
}

// Fetch returns the object from the first peer whose data matches the digest in name. The error is
// bergamotstore.ErrNotFound when there is no peer to ask, otherwise it joins the errors of the peers.
func (t *textExchange) Fetch(ctx context.Context, name string) ([]byte, error) {
	return fetchText(ctx, t.client, t.peersToAsk(name), name, t.count)
}

func fetchText(ctx context.Context, client textClient, peers []bergamotmember.Peer, name string, count func(name string)) (data []byte, err error) {
	if len(peers) == 0 {
		return nil, bergamotstore.ErrNotFound
	}
	ctx, cancel := context.WithCancel(ctx)
	results, started, pending := make(chan fetchResult, maxConcurrentFetches), 0, 0
	defer func() {
		cancel()
		for ; pending > 0; pending-- {
			<-results
		}
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for started < len(peers) || pending > 0 {
		next := timer.C
		if started == len(peers) || pending == maxConcurrentFetches {
			next = nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.Join(err, ctx.Err())
		case <-next:
			peer := peers[started]
			started++
			pending++
			timer.Reset(nextPeerDelay)
			go func() {
				data, err := client.Fetch(ctx, peer, name)
				results <- fetchResult{data, err}
			}()
		case r := <-results:
			pending--
			if r.err == nil && bergamotrollout.IsValidObject(name, r.data) {
				count("texts.peer")
				return r.data, nil
			}
			if r.err == nil {
				count("texts.invalid")
				r.err = errors.New("the text from a peer does not match its digest")
			}
			err = errors.Join(err, r.err)
			timer.Reset(0)
		}
	}
	return nil, err
}

// peersToAsk returns live peers: first those that announced the wanted bundle as their head, then up to maxOtherPeers
// others, each group in random order. The others are needed since one member that announces a false head hides the
// heads of the rest.
func (t *textExchange) peersToAsk(name string) (out []bergamotmember.Peer) {
	v := t.view()
	p := v.Members()
	if p == nil {
		return nil
	}
	addresses := map[string]string{}
	for _, s := range t.seedPeers {
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
	return append(out, others[:min(len(others), maxOtherPeers)]...)
}

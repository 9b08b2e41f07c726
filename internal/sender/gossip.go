package sender

// This file carries the gossip of package choice to and from other senders (package peers). The loop does not wait for a
// socket, and a sender serves without gossip where it cannot be sent.

import (
	"go.uber.org/zap"

	"flaxcove/internal/config"
	"flaxcove/internal/peers"
)

// gossip is the part of a Sender that talks to its peers.
type gossip struct {
	peers *peers.Peers // nil where no gossip is sent
}

// openGossip binds the socket for gossip where the settings ask for it. Where that fails it returns a configuration
// without gossip.
func openGossip(cfg *config.Config, log *zap.Logger) (*config.Config, *peers.Peers) {
	if !cfg.Settings.Notes {
		return cfg, nil
	}
	p, err := peers.Open(peers.Options{Listen: cfg.PeerListen, Peers: cfg.Peers, Own: int(cfg.Settings.Number), All: cfg.PeersAll})
	if err != nil {
		log.Error("notes stay off", zap.Error(err))
		without := *cfg
		without.Settings.Notes = false
		return &without, nil
	}
	return cfg, p
}

func closeGossip(p *peers.Peers) error {
	if p == nil {
		return nil
	}
	return p.Close()
}

// startGossip begins to receive.
func (s *Sender) startGossip(p *peers.Peers) {
	s.peers = p
	if p != nil {
		p.Start(func(note []byte) { s.post(func() { s.choice.Heard(note) }) })
	}
}

// stopGossip waits for the receiver, whose post returns once s.stop is closed.
func (s *Sender) stopGossip() {
	if err := closeGossip(s.peers); err != nil {
		s.log.Error("notes", zap.Error(err))
	}
}

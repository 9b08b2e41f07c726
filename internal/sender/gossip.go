package sender

// This file exchanges the gossip of package choice with other senders (package peers). The loop never waits for the socket,
// and a sender that cannot open it serves without gossip.

import (
	"go.uber.org/zap"

	"flaxcove/internal/config"
	"flaxcove/internal/peers"
)

// gossip is the part of a Sender that exchanges gossip with its peers.
type gossip struct {
	peers *peers.Peers // nil if gossip is off
}

// openGossip binds the socket for gossip if the settings enable it. If that fails it logs the error and returns a
// configuration without gossip.
func openGossip(cfg *config.Config, log *zap.Logger) (*config.Config, *peers.Peers) {
	if !cfg.Settings.Notes {
		return cfg, nil
	}
	p, err := peers.Open(peers.Options{Listen: cfg.PeerListen, Peers: cfg.Peers, Own: int(cfg.Settings.Number), All: cfg.PeersAll})
	if err != nil {
		log.Error("gossip socket cannot be opened; gossip stays off", zap.Error(err))
		without := *cfg
		without.Settings.Notes = false
		return &without, nil
	}
	return cfg, p
}

// closeGossip closes the socket and waits for the goroutines of p, which may be nil.
func closeGossip(p *peers.Peers) error {
	if p == nil {
		return nil
	}
	return p.Close()
}

// startGossip starts to receive gossip; p may be nil.
func (s *Sender) startGossip(p *peers.Peers) {
	s.peers = p
	if p != nil {
		p.Start(func(note []byte) { s.post(func() { s.choice.ReceiveNote(note) }) })
	}
}

// stopGossip closes the socket and waits for the receiver. It is called after s.stop is closed, or the receiver could block
// in post.
func (s *Sender) stopGossip() {
	if err := closeGossip(s.peers); err != nil {
		s.log.Error("closing the gossip socket failed", zap.Error(err))
	}
}

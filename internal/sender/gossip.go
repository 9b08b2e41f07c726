package sender

// This file carries the module's notes to and from other senders (package peers). It must never have the loop wait for
// a socket, nor keep a sender from serving because notes cannot go: it then serves as one without.

import (
	"go.uber.org/zap"

	"flaxcove/internal/config"
	"flaxcove/internal/peers"
)

type gossip struct {
	peers *peers.Peers // nil where no notes go
}

// openGossip binds the socket for notes where the settings have them go. Where that fails it returns a configuration
// without.
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

// startGossip lets notes come in.
func (s *Sender) startGossip(p *peers.Peers) {
	if s.peers = p; p != nil {
		p.Start(func(note []byte) { s.post(func() { s.module.Heard(note) }) })
	}
}

// stopGossip waits for the receiver, which post lets go once stop is closed.
func (s *Sender) stopGossip() {
	if err := closeGossip(s.peers); err != nil {
		s.log.Error("notes", zap.Error(err))
	}
}

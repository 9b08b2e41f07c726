package main

// This file joins a sender to the processes around it, where `serve --cluster FILE` asks for that. Without the flag
// nothing of it runs.

import (
	"errors"

	"flaxcove/internal/config"
	"flaxcove/internal/sender"
)

// withCluster is how many threads run Go code with a cluster: the sender's one loop keeps one to itself.
const withCluster = 2

// startCluster is called between the sender's start and its Run: it joins the sender (sender.Join), and its orders
// (sender.Orders) may be given from then on. What it returns is called once Run has returned.
func startCluster(path string, cfg *config.Config, s *sender.Sender) (leave func(), err error) {
	_, _, _ = path, cfg, s
	return nil, errors.New("--cluster: not built in")
}

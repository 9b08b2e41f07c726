package cluster

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"flaxcove/internal/cluster/view"
)

// maintenanceInterval is the time from one round of maintain to the next.
const maintenanceInterval = time.Second

// maintain is the node's maintenance loop, which runs until ctx ends. In each round it looks for the leader and
// announces whether this process's folder holds records of a consensus group; every antiEntropyRounds rounds it runs
// anti-entropy.
func (n *Node) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	hasRecords := n.self.HasRecords
	var entropy antiEntropy
	antiEntropyRound := rand.IntN(antiEntropyRounds) // random, so that many processes that start together do not query at once
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.queryLeader(ctx, round)
		if round%antiEntropyRounds == antiEntropyRound {
			n.runAntiEntropy(ctx, &entropy)
		}
		if n.consensus != nil && n.consensus.HasRecords() != hasRecords {
			hasRecords = !hasRecords
			if err := n.members.Update(func(m *view.Member) { m.HasRecords = hasRecords }); err != nil {
				n.log.Warn("announcing this process's changed metadata failed", zap.Error(err))
			}
		}
	}
}

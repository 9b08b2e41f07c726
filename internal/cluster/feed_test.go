package cluster

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/link"
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
)

// TestLongSamplesFitTheLink guards against a coordinator that learns nothing of a process: 4,096 samples went in one message,
// which with long names is longer than the link takes, and all of them were due again in the next one.
func TestLongSamplesFitTheLink(t *testing.T) {
	addresses := map[view.Name]string{}
	startLink := func(m view.Member) *link.Link {
		l, err := link.Start(link.Options{Cluster: "c", Self: m.Instance, Listen: "127.0.0.1:0",
			Reach: func(name view.Name) (string, bool) { return addresses[name], true }})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			if err := l.Close(ctx); err != nil {
				t.Error(err)
			}
		})
		addresses[m.Name] = l.Addr()
		return l
	}
	zone := view.Zone(strings.Repeat("z", 63))
	var members []view.Member
	for _, name := range []string{"a", "b"} {
		members = append(members, view.Member{Instance: view.Instance{Name: view.Name(strings.Repeat(name, 63)), Incarnation: 1}, Zone: zone,
			Region: "r"})
	}
	all := tree.Derive(view.New("", 1, members))
	n := &Node{self: members[0]}
	coordinator := members[1]
	if all.ZoneCoordinator(zone) == n.self.Name {
		n.self, coordinator = coordinator, n.self
	}
	n.topology.Store(&topology{treeWithoutSuspected: all})
	n.digests.reported = map[healthreport.Locality]lastReport{}
	n.link = startLink(n.self)
	var mu sync.Mutex
	received := map[choice.DestinationID]bool{}
	startLink(coordinator).Handle(evidencePath, func(_ context.Context, _ view.Instance, body []byte) (any, error) {
		var samples []healthreport.Sample
		err := json.Unmarshal(body, &samples)
		mu.Lock()
		defer mu.Unlock()
		for _, s := range samples {
			received[s.Destination] = true
		}
		return nil, err
	})
	var samples []healthreport.Sample
	for i := range maxReportSamples {
		samples = append(samples, healthreport.Sample{Locality: healthreport.Locality{Destination: choice.DestinationID(1e9 + i), Zone: zone},
			Reporter: n.self.Name, ReporterZone: zone, Age: time.Second, Span: time.Second, Sent: 1.0 / 3, Done: 1.0 / 7, Limit: 1e9 / 7})
	}
	n.reportSamples(context.Background(), time.Second, samples)
	mu.Lock()
	defer mu.Unlock()
	if len(received) != len(samples) {
		t.Errorf("%d of %d samples arrived", len(received), len(samples))
	}
}

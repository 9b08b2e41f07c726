package run

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/failover/assess"
	"flaxcove/internal/cluster/healthreport"
	"flaxcove/internal/cluster/view"
)

// TestLongReportsFitTheLink guards against reports that never arrive: 3,000 reports went in one message, whatever their length,
// and a message that is longer than the link takes was lost with all of them.
func TestLongReportsFitTheLink(t *testing.T) {
	c := newTestCluster(t, 1)
	c.start(c.members[0])
	received := 0
	testLink{c, "parent"}.Handle(reportsPath, func(_ context.Context, _ view.Instance, body []byte) (any, error) {
		var message reportsMessage
		err := json.Unmarshal(body, &message)
		received += len(message.Reports)
		return nil, err
	})
	name := strings.Repeat("n", 63)
	var reports []assess.Report
	for i := range maxReports {
		reports = append(reports, assess.Report{Locality: healthreport.Locality{Destination: choice.DestinationID(i), Zone: view.Zone(name)},
			From: view.Zone(name), Age: time.Hour, FailingWitnesses: 6, Failures: 1.0 / 3, Successes: 1.0 / 7, Sent: 1e9 / 7, Done: 1e9 / 3,
			FailingNames: []view.Name{view.Name(name), view.Name(name), view.Name(name)}})
	}
	c.runners[c.members[0].Name].callWithAll([]view.Name{"parent"}, "", reports)
	if received != len(reports) {
		t.Error(fmt.Sprint(received, " of ", len(reports), " reports arrived"))
	}
}

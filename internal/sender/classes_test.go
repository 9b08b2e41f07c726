package sender

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"flaxcove/choice"
)

// TestUnusualClasses checks that twenty classes with unusual names are told apart, also after a kill, and that calls of
// classes without a latency objective have a timeout long enough for an answer.
func TestUnusualClasses(t *testing.T) {
	t.Parallel()
	var names, classes []string
	for i := range 20 {
		name := []string{"täglich", "x=y", "日本", "%s", "../up", "a;b", "[]", "'", "0", "-"}[i%10] + strings.Repeat("n", i/10*300)
		names = append(names, name)
		classes = append(classes, fmt.Sprintf(`{"name":%q,"idempotency":%q,"deadline":8000000000,"worth":1}`, name, []string{"pure", "side_effect"}[i%2]))
	}
	settings := fmt.Sprintf(`{"quantum":5000000,"machineTypes":["one"],"zones":["z"],"classes":[%s],"extra":{"callsOut":40}}`, strings.Join(classes, ","))
	dir := t.TempDir()
	l := recordCalls(t, startWith(testConfigWith(dir, settings, oneEndpointList)))
	c := newClient()
	for i, name := range names {
		l.handle(c, fmt.Sprintf("OUT.ADD 0 n%d c=%s,d=8000,dest=7 x", i, name))
	}
	l.updateList(`{"version":2,"servers":[{"id":"g","addr":"127.0.0.1:7","zone":"z","kind":"one","cell":7,"state":"draining"}]}`)
	for i, name := range names {
		l.handle(c, fmt.Sprintf("OUT.ADD 0 n%d c=%s,d=8000,dest=7 x", i, name))
	}
	l.advanceAnswering(5*time.Millisecond, time.Hour)
	if got := strings.Count(string(c.output), "+OK"); got != len(names) {
		t.Fatalf("%d of %d messages accepted; answers: %.300s", got, len(names), c.output)
	}
	l = recordCalls(t, startAt(testConfigWith(dir, settings, strings.ReplaceAll(oneEndpointList, `"cell":1`, `"cell":7`)), l.clock))
	for i, name := range names {
		m := l.s.pending[choice.MessageID(fmt.Sprint("n", i))]
		if m == nil || m.className != name || m.Class != choice.ClassNo(i) {
			t.Errorf("message of class %q after the restart: %v", name, m)
		}
	}
	l.advanceAnswering(5*time.Millisecond, time.Hour)
	if len(l.openCalls) == 0 {
		t.Fatal("no call was made after the restart")
	}
	for _, c := range l.openCalls {
		if c.timeout < second {
			t.Errorf("a call to an endpoint without learned state times out after %.1f ms", float64(c.timeout)/float64(choice.Millisecond))
		}
	}
}

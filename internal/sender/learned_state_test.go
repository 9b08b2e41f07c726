package sender

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"flaxcove/choice"
	"flaxcove/internal/sender/clusterapi"
)

// A file of learned state that is broken, or not plausible, keeps no start from happening and no call from having its time:
// its endpoints start afresh.
func TestBrokenLearnedState(t *testing.T) {
	t.Parallel()
	const one = `{"at":%d,"endpoints":[{"endpoint":"a","destination":1,"addr":"127.0.0.1:1","Mean":900,"Dev":300,"Past":900,"Seen":9,"Limit":7,"Wait":0}]}`
	good := fmt.Sprintf(one, clockAt(time.Minute))
	change := func(old, new string) string { return strings.Replace(good, old, new, 1) }
	for name, c := range map[string]struct {
		text  string
		taken bool
	}{
		"good":                {good, true},
		"of a later time":     {fmt.Sprintf(one, clockAt(time.Hour)), true},
		"empty":               {"", false},
		"cut":                 {good[:len(good)/2], false},
		"null":                {"null", false},
		"a list":              {"[" + good + "]", false},
		"zeros":               {strings.Repeat("\x00", 4096), false},
		"another type":        {change(`"Mean":900`, `"Mean":"900"`), false},
		"beyond numbers":      {change(`"Mean":900`, `"Mean":1e999`), false},
		"a mean of ages":      {change(`"Mean":900`, `"Mean":1e300`), false},
		"a spread of ages":    {change(`"Dev":300`, `"Dev":1e300`), false},
		"a past of ages":      {change(`"Past":900`, `"Past":1e300`), false},
		"a limit beyond all":  {change(`"Limit":7`, `"Limit":1e300`), false},
		"a limit below zero":  {change(`"Limit":7`, `"Limit":-1`), false},
		"more calls than any": {change(`"Seen":9`, `"Seen":1e300`), false},
		"an endless wait":     {change(`"Wait":0`, `"Wait":9223372036854775807`), false},
		"a wait of days":      {change(`"Wait":0`, `"Wait":2000000000`), false},
	} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, learnedFileName), []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		l := recordCalls(t, startWith(fourClassConfig(dir, 100)))
		if k := l.s.choice.LearnedState("a"); (k.Seen == 9 && k.Mean == 900) != c.taken {
			t.Errorf("%s: %+v", name, k)
		}
		client := newUnreadClient()
		l.handle(client, "OUT.ADD 0 n c=pure,d=8000,dest=1 x")
		l.advanceAnswering(5*time.Millisecond, time.Hour)
		if len(l.openCalls) != 1 {
			t.Errorf("%s: %d calls", name, len(l.openCalls))
		} else if lasts := l.openCalls[0].timeout; lasts < choice.Second || lasts > 8*choice.Second {
			t.Errorf("%s: a call may take %.1f ms", name, float64(lasts)/float64(choice.Millisecond))
		}
	}
}

// A purge of learned state drops it on disk too: a kill must not bring it back.
func TestPurgeOfLearnedState(t *testing.T) {
	dir := t.TempDir()
	file := dir + "/" + learnedFileName
	text := `{"at":1,"endpoints":[{"endpoint":"gone","destination":1,"addr":"x","Mean":5,"Past":5,"Seen":1},
{"endpoint":"b","destination":2,"addr":"127.0.0.1:2","Mean":5,"Past":5,"Seen":1}]}`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	h := start(dir, 100)
	h.joinCluster(Joining{})
	m := &fakeLearnedStore{}
	h.s.learnedStore = m
	d := choice.DestinationID(1)
	var found []clusterapi.Found
	h.s.Orders().Purge([]clusterapi.Purge{{Seq: 1, LearnedState: true, Match: clusterapi.Match{Destination: &d}},
		{Seq: 2, LearnedState: true, Match: clusterapi.Match{Class: "order"}}}, func(_ uint64, f []clusterapi.Found) { found = f })
	h.runNext().advance(5 * time.Millisecond)
	if len(found) != 2 || found[0].LearnedState != 2 || found[1].LearnedState != 0 || len(m.voided) != 1 {
		t.Errorf("found %+v, void %v", found, m.voided)
	}
	left, _ := os.ReadFile(file)
	if strings.Contains(string(left), "gone") || !strings.Contains(string(left), `"b"`) {
		t.Errorf("on disk: %s", left)
	}
}

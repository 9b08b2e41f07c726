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

// TestBrokenLearnedState checks that a broken or implausible file of learned state neither prevents a start nor shortens
// the timeout of a call: its endpoints start without learned state.
func TestBrokenLearnedState(t *testing.T) {
	t.Parallel()
	const one = `{"at":%d,"endpoints":[{"endpoint":"a","destination":1,"addr":"127.0.0.1:1","Mean":900,"Dev":300,"Past":900,"Seen":9,"Limit":7,"Wait":0}]}`
	good := fmt.Sprintf(one, clockAt(time.Minute))
	change := func(old, new string) string { return strings.Replace(good, old, new, 1) }
	for name, c := range map[string]struct {
		text string
		used bool // the learned state of endpoint a is used
	}{
		"good":                    {good, true},
		"of a later time":         {fmt.Sprintf(one, clockAt(time.Hour)), true},
		"empty":                   {"", false},
		"cut off":                 {good[:len(good)/2], false},
		"null":                    {"null", false},
		"a list":                  {"[" + good + "]", false},
		"zeros":                   {strings.Repeat("\x00", 4096), false},
		"another type":            {change(`"Mean":900`, `"Mean":"900"`), false},
		"a number out of range":   {change(`"Mean":900`, `"Mean":1e999`), false},
		"mean too long":           {change(`"Mean":900`, `"Mean":1e300`), false},
		"deviation too long":      {change(`"Dev":300`, `"Dev":1e300`), false},
		"long-term mean too long": {change(`"Past":900`, `"Past":1e300`), false},
		"limit too high":          {change(`"Limit":7`, `"Limit":1e300`), false},
		"limit below zero":        {change(`"Limit":7`, `"Limit":-1`), false},
		"too many calls":          {change(`"Seen":9`, `"Seen":1e300`), false},
		"an infinite wait":        {change(`"Wait":0`, `"Wait":9223372036854775807`), false},
		"a wait of days":          {change(`"Wait":0`, `"Wait":2000000000`), false},
	} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, learnedFileName), []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		l := recordCalls(t, startWith(fourClassConfig(dir, 100)))
		if learned := l.s.choice.LearnedState("a"); (learned.Seen == 9 && learned.Mean == 900) != c.used {
			t.Errorf("%s: learned state %+v, want that of the file: %v", name, learned, c.used)
		}
		client := newUnreadClient()
		l.handle(client, "OUT.ADD 0 n c=pure,d=8000,dest=1 x")
		l.advanceAnswering(5*time.Millisecond, time.Hour)
		if len(l.openCalls) != 1 {
			t.Errorf("%s: %d calls, want 1", name, len(l.openCalls))
		} else if timeout := l.openCalls[0].timeout; timeout < choice.Second || timeout > 8*choice.Second {
			t.Errorf("%s: the timeout of the call is %.1f ms, want 1 s to 8 s", name, float64(timeout)/float64(choice.Millisecond))
		}
	}
}

// TestPurgeOfLearnedState checks that a purge of learned state also deletes it on disk, so that a start after a kill does
// not load it again.
func TestPurgeOfLearnedState(t *testing.T) {
	dir := t.TempDir()
	file := dir + "/" + learnedFileName
	text := `{"at":1,"endpoints":[{"endpoint":"gone","destination":1,"addr":"x","Mean":5,"Past":5,"Seen":1},
{"endpoint":"b","destination":2,"addr":"127.0.0.1:2","Mean":5,"Past":5,"Seen":1}]}`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	h := start(dir, 100)
	h.joinCluster(JoinOptions{})
	m := &fakeLearnedStore{}
	h.s.learnedStore = m
	d := choice.DestinationID(1)
	var found []clusterapi.PurgeResult
	h.s.Orders().Purge([]clusterapi.Purge{{Seq: 1, LearnedState: true, Match: clusterapi.Match{Destination: &d}},
		{Seq: 2, LearnedState: true, Match: clusterapi.Match{Class: "order"}}}, func(_ uint64, f []clusterapi.PurgeResult) { found = f })
	h.runNext().advance(5 * time.Millisecond)
	if len(found) != 2 || found[0].LearnedState != 2 || found[1].LearnedState != 0 || len(m.replaced) != 1 {
		t.Errorf("found %+v, learned state dropped of %v", found, m.replaced)
	}
	left, _ := os.ReadFile(file)
	if strings.Contains(string(left), "gone") || !strings.Contains(string(left), `"b"`) {
		t.Errorf("on disk after the purge: %s, want endpoint b alone", left)
	}
}

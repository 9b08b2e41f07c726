package sim_test

import (
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"hash"
	"hash/crc32"
	"os"
	"runtime"
	"testing"

	"flaxcove/choice"
	"flaxcove/lab/scenario"
	"flaxcove/lab/sim"
	"flaxcove/lab/world"
)

var update = flag.Bool("update", false, "rewrite testdata/replay.json; use it only for an intended change of decisions")

// recordedRuns lists the runs that are compared call by call with testdata/replay.json. The last three use features that no
// scenario uses: notes between senders, quotas of accounts, route fees, learned state of an earlier incarnation, and purged
// messages.
var recordedRuns = []struct {
	name, scenario string
	adjust         func(*choice.Settings)
	spec           func(*world.Spec)
}{
	{name: "fleet-limits"}, {name: "fleet-tables"}, {name: "crash"}, {name: "roll"}, {name: "refused-first"},
	{name: "list"}, {name: "kills"}, {name: "silent"}, {name: "limit-spans"}, {name: "limit-swings"},
	{name: "limits with notes", scenario: "fleet-limits", adjust: func(s *choice.Settings) { s.Notes = true }},
	{name: "tables with notes", scenario: "fleet-tables", adjust: func(s *choice.Settings) { s.Notes, s.AnswersWhenTableFull = true, false },
		spec: func(s *world.Spec) {
			s.Faults = append(s.Faults, world.Fault{Kind: "crash", At: 8, Seconds: 5, Selector: world.Selector{Share: 0.3}})
		}},
	{name: "odd ones", scenario: "kills", adjust: func(s *choice.Settings) {
		s.Quotas, s.OverQuotaValue, s.RouteFees, s.Probing = []float64{40}, 0.3, []float64{0, 0.02}, true
	}, spec: func(s *world.Spec) {
		for i := range s.Classes {
			s.Classes[i].Ordered = true
		}
		w := &s.Classes[0]
		w.Repeat, w.WindowS, w.ZoneGroup, s.Partners[0].SeparateRoutes, s.Sender.MaxOpen = "tokened", 2, true, true, 60
		for i, kind := range []string{"shut", "resets", "crash", "surge", "no_connections"} {
			fault := world.Fault{Kind: kind, At: 4 + 3*float64(i), Seconds: 5, Amount: 0.3, Selector: world.Selector{Share: 0.3}}
			if kind == "surge" {
				fault.Amount, fault.Selector = 3, world.Selector{}
			}
			s.Faults = append(s.Faults, fault)
		}
	}},
}

// The calls of all senders and incarnations to their hosts are the recorded ones, with their times and arguments. A failure
// means that a change of the code has changed decisions.
func TestDecisionsMatchRecordedRuns(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("other architectures may round a product and a sum in one operation, so that decisions differ in the last digit")
	}
	const path = "testdata/replay.json"
	seen, want := map[string]string{}, map[string]string{}
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &want)
	}
	if err != nil && !*update {
		t.Fatal(err)
	}
	t.Run("runs", func(t *testing.T) {
		results := make([]string, len(recordedRuns))
		t.Cleanup(func() {
			for i, entry := range recordedRuns {
				seen[entry.name] = results[i]
			}
		})
		for i, entry := range recordedRuns {
			t.Run(entry.name, func(t *testing.T) {
				t.Parallel()
				if entry.scenario == "" {
					entry.scenario = entry.name
				}
				s, err := scenario.Find(entry.scenario, "")
				if err != nil {
					t.Fatal(err)
				}
				if entry.spec != nil {
					entry.spec(s.Spec)
					s.Spec.Defaults()
				}
				r := &callLog{sum: sha256.New(), live: map[choice.SenderID]*recorder{}, specialCases: entry.name == "odd ones"}
				run(t, sim.Options{Spec: s.Spec, Seed: 3, Adjust: entry.adjust, Policy: r.start})
				results[i] = fmt.Sprintf("%d calls %x", r.calls, r.sum.Sum(nil)[:8])
				if !*update && results[i] != want[entry.name] {
					t.Errorf("got %s, want as recorded %s", results[i], want[entry.name])
				}
			})
		}
	})
	if *update && !t.Failed() {
		text, err := json.MarshalIndent(seen, "", "\t")
		if err == nil {
			err = os.WriteFile(path, append(text, '\n'), 0o644)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// callLog hashes all calls of a run's senders to their hosts, in order.
type callLog struct {
	sum          hash.Hash
	calls        int  // number of calls
	specialCases bool // learned state and purged messages are added for some endpoints and messages
	ids          []choice.SenderID
	live         map[choice.SenderID]*recorder // current incarnation of each sender
}

// recorder records the calls between one incarnation of a sender and its host.
type recorder struct {
	choice.Host
	*choice.Sender
	r         *callLog
	id        choice.SenderID
	w         *world.World
	withdrawn []choice.MessageID // messages to purge at the next tick
}

func (r *callLog) start(h choice.Host, id choice.SenderID, seed int64, set choice.Settings, w *world.World) sim.Policy {
	rec := &recorder{Host: h, r: r, id: id, w: w}
	if r.live[id] == nil {
		r.ids = append(r.ids, id)
	}
	r.live[id] = rec
	rec.Sender = choice.NewSender(rec, id, seed, set)
	return rec
}

func (r *recorder) logCall(format string, args ...any) {
	r.r.calls++
	fmt.Fprintf(r.r.sum, "%s %d "+format+"\n", append([]any{r.id, r.Now()}, args...)...)
}

func (r *recorder) Attempt(n choice.MessageID, to choice.EndpointID, in choice.CallID, timeOut choice.Time) {
	r.logCall("dispatch %s %s %d", n, to, timeOut)
	r.Host.Attempt(n, to, in, timeOut)
}

func (r *recorder) Shed(n choice.MessageID, in choice.Time) {
	r.logCall("shed %s %d", n, in)
	r.Host.Shed(n, in)
}

func (r *recorder) Fail(n choice.MessageID) {
	r.logCall("give up %s", n)
	r.Host.Fail(n)
}

func (r *recorder) Probe(e choice.EndpointID) {
	r.logCall("probe %s", e)
	r.Host.Probe(e)
}

func (r *recorder) CloseIdle(e choice.EndpointID) {
	r.logCall("close %s", e)
	r.Host.CloseIdle(e)
}

// BroadcastNote delivers a note to all other senders after 2 ms.
func (r *recorder) BroadcastNote(note []byte) {
	r.logCall("tell %x", note)
	r.w.After(2*choice.Millisecond, func() {
		for _, id := range r.r.ids {
			if id != r.id {
				r.r.live[id].ReceiveNote(note)
			}
		}
	})
}

func (r *recorder) SetTimer(in choice.Time, id choice.TimerID) {
	r.logCall("timer %d %d", in, id)
	r.Host.SetTimer(in, id)
}

func (r *recorder) CancelTimer(id choice.TimerID) {
	r.logCall("forget %d", id)
	r.Host.CancelTimer(id)
}

// isOneIn reports whether an id belongs to the share 1/n of ids that get learned state or are purged. It returns false in
// runs without specialCases.
func (r *recorder) isOneIn(n uint32, id string) bool {
	return r.r.specialCases && crc32.ChecksumIEEE([]byte(id))%n == 0
}

func (r *recorder) UpdateEndpoints(entries []choice.Entry, whole bool) {
	for i, e := range entries {
		if r.isOneIn(3, string(e.Endpoint)) {
			entries[i].LearnedState = &choice.LearnedState{Mean: 900, Dev: 300, Past: 800, Seen: 12, Limit: 6, Wait: choice.Second}
		}
	}
	r.Sender.UpdateEndpoints(entries, whole)
}

func (r *recorder) Accept(n choice.Message) {
	r.Sender.Accept(n)
	if r.isOneIn(20, string(n.ID)) {
		r.withdrawn = append(r.withdrawn, n.ID)
	}
}

func (r *recorder) AttemptEnded(o choice.Outcome) {
	r.Sender.AttemptEnded(o)
	if r.isOneIn(7, string(o.Message)) {
		r.withdrawn = append(r.withdrawn, o.Message)
	}
}

func (r *recorder) TurnEnd() {
	for i, id := range r.withdrawn {
		if i%2 == 0 {
			r.Withdraw(id)
		}
	}
	r.Sender.TurnEnd()
	for i, id := range r.withdrawn {
		if i%2 == 1 {
			r.Withdraw(id)
		}
	}
	r.withdrawn = nil
}

func (r *recorder) MaySend(e choice.EndpointID, ids ...choice.MessageID) bool {
	is := r.Sender.MaySend(e, ids...)
	r.logCall("open %s %s %t", e, ids, is)
	return is
}

package size

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	full   = flag.Bool("size.full", false, "play all cases with sixty senders and print their table")
	only   = flag.String("size.only", "", "of these, only cases of which the name begins so")
	seeds  = flag.Int("size.seeds", 3, "seeds of the first case; of the others one")
	trace  = flag.Bool("size.trace", false, "print the plans and what left each second")
	parts  = flag.Int("size.parallel", 3, "runs side by side")
	escape = flag.Bool("size.escape", false, "Options.Escape")
	prompt = flag.Bool("size.prompt", false, "Options.Prompt")
	span   = flag.Duration("size.span", 0, "Options.Span")
	larger = flag.Int("size.large", 0, "in place of these, a zone gone among so many senders in twelve zones")
)

func play(t *testing.T, o Options) *Figures {
	t.Helper()
	f, err := Play(o)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// rows plays cases, each with its seeds and modes.
func rows(t *testing.T, all []Options) []Row {
	var table []Row
	free, wait := make(chan struct{}, *parts), sync.WaitGroup{}
	for _, o := range all {
		row := Row{o.Name, o.Seed, map[Mode]*Figures{}}
		table = append(table, row)
		var mu sync.Mutex
		for _, mode := range []Mode{Alone, Together, Oracle} {
			wait.Go(func() {
				free <- struct{}{}
				began := time.Now()
				mine := o
				mine.Mode, mine.Escape, mine.Span, mine.Prompt = mode, *escape, *span, *prompt
				f := play(t, mine)
				fmt.Fprintln(os.Stderr, o.Name, o.Seed, mode, time.Since(began))
				if *trace && mode == Together {
					f.print(os.Stderr)
				}
				mu.Lock()
				row.ByMode[mode] = f
				mu.Unlock()
				<-free
			})
		}
	}
	wait.Wait()
	if *trace {
		for _, r := range table {
			fmt.Fprint(os.Stderr, r.Case, " ", r.Seed, ":")
			for s := range 45 {
				best := valueAt(r.ByMode[Oracle].valueBySecond, s)
				fmt.Fprintf(os.Stderr, " %d:%.2f/%.2f", s, valueAt(r.ByMode[Alone].valueBySecond, s)/best, valueAt(r.ByMode[Together].valueBySecond, s)/best)
			}
			fmt.Fprintln(os.Stderr)
		}
	}
	return table
}

func TestFull(t *testing.T) {
	if !*full && *larger == 0 {
		t.Skip("only with -size.full or -size.large")
	}
	var all []Options
	if *larger > 0 {
		all = append(all, Options{Case: Large(*larger), Seed: 1, Bytes: true})
	} else {
		for seed := range *seeds {
			all = append(all, Options{Case: ZoneGone(), Seed: uint64(seed + 1), Bytes: true})
		}
		dies := ZoneGone()
		dies.Name = "zone gone, leader in it"
		all = append(all, Options{Case: dies, Seed: 1, LeaderDies: dies.From, LeaderGone: 1500 * time.Millisecond})
		for _, c := range Cases() {
			all = append(all, Options{Case: c, Seed: 1})
		}
	}
	var chosen []Options
	for _, o := range all {
		if strings.HasPrefix(o.Name, *only) {
			chosen = append(chosen, o)
		}
	}
	table := Markdown(rows(t, chosen))
	t.Log("\n" + table)
	fmt.Print("\n", table, "\n")
}

// One seed plays one run, whatever the order of maps: plans and their moments are hashed.
func TestSameSeedSameFigures(t *testing.T) {
	o := Options{Case: Small(), Seed: 7, Mode: Together}
	o.Spec.Seconds = 14 // into the outage
	a, b := play(t, o), play(t, o)
	if a.Hash == 0 || a.Hash != b.Hash || a.Figure != b.Figure || a.MessagesPerSecond != b.MessagesPerSecond {
		t.Errorf("hash %x and %x, figure %g and %g, messages %g and %g", a.Hash, b.Hash, a.Figure, b.Figure, a.MessagesPerSecond, b.MessagesPerSecond)
	}
}

// A zone of four hangs for ten seconds: while all is well next to nothing leaves its zone; as it falls a plan moves
// what it had; when it is well again traffic comes back near, which it never does where each sender is alone.
func TestZoneGoneAndBack(t *testing.T) {
	for seed := range uint64(1) { // of more, TestFull tells
		o := Options{Case: Small(), Seed: seed + 1, Mode: Together}
		with := play(t, o)
		o.Mode = Alone
		alone := play(t, o)
		t.Logf("with %v %v %v back %v in force %v gain %.0f over %v; alone %v %v %v gain %.0f", with.AwayBefore, with.AwayDuring, with.AwayAfter,
			with.ReturnedAfter, with.InForceAfter, with.Value, with.ZoneOverload, alone.AwayBefore, alone.AwayDuring, alone.AwayAfter, alone.Value)
		switch {
		case with.violationCount() > 0 || with.PushedOver > 0:
			t.Errorf("seed %d: rules %v, pushed over %d", o.Seed, with.Rules, with.PushedOver)
		case with.AwayBefore >= calmShare || with.AwayDuring < calmShare:
			t.Errorf("seed %d: %.3f leave while all is well, %.3f during the outage", o.Seed, with.AwayBefore, with.AwayDuring)
		case with.InForceAfter < 0 || with.InForceAfter > 6:
			t.Errorf("seed %d: in force after %.1f s", o.Seed, with.InForceAfter)
		case with.AwayAfter >= 2*calmShare || alone.AwayAfter <= 4*with.AwayAfter:
			t.Errorf("seed %d: at the end %.3f leave, %.3f where each is alone", o.Seed, with.AwayAfter, alone.AwayAfter)
		case with.ZoneOverload.Seconds > 1:
			t.Errorf("seed %d: a receiving zone is over what it can take: %v", o.Seed, with.ZoneOverload)
		case with.Value < valueAtLeast*alone.Value:
			t.Errorf("seed %d: gain %.0f in the outage, %.0f where each is alone", o.Seed, with.Value, alone.Value)
		}
	}
}

// valueAtLeast is what the outage's value must be of that where each is alone. The aim is above 1. With the modules as
// they are, 0.92 to 0.97 is reached in a fleet this small, where each sender calls each destination once in two seconds:
// a guide keeps messages to what has fallen until the plan comes, where a sender alone goes elsewhere by itself.
const valueAtLeast = 0.9

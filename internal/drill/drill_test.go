package drill

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	"flaxcove/internal/fielderror"
)

const boot = `{"balancers":2,"bounds":{"maxAttempts":4,"maxOpen":50,"probing":true,"novel":1},` +
	`"classes":[{"aim":800000000,"deadline":6000000000,"idempotency":"pure","worth":1}],` +
	`"extra":{"bundleMax":[2],"callsOut":4},"quantum":5000000,"stats":{"fields":["x0","x1"]},"novel":{}}`

func play(lines ...string) {
	text := strings.ReplaceAll(strings.Join(lines, "\n")+"\n", " ", "\t")
	if err := Run(strings.NewReader(text), os.Stdout); err != nil {
		fmt.Println(err)
	}
}

func opening(more ...string) []string {
	return append([]string{"frame 1000000000", "start sender-0 7 " + boot, "catalog 3 1",
		"item - 0 1 endpoint_a 0 57 ready", "targets sender-0 C 1 3"}, more...)
}

func Example_batch() {
	play(opening("knock sender-0 t/a 0 0 - 7000000000 - 57 0", "go", "frame 1200000000",
		"finished sender-0 t/a 200000000 0 endpoint_a 1 OK - 0.4,3", "left sender-0 t/zz", "go")...)
	// Output:
	// timer	sender-0	50000000	0
	// timer	sender-0	5590100000	1
	// submit_to	sender-0	t/a	4400000000	endpoint_a
	// done
	// done
}

// Gossip goes both ways: a connection that failed is reported to all peers, and what a peer reports of a limit rests the route.
func Example_notes() {
	fleet := strings.NewReplacer(`"balancers":2`, `"balancers":20`, `"probing":true`, `"probing":true,"peers":true`).Replace(boot)
	play("frame 1000000000", "start sender-0 7 "+fleet, "catalog 3 1", "item - 0 1 endpoint_a 0 57 ready", "targets sender-0 C 1 3",
		"knock sender-0 t/a 0 0 - 7000000000 - 57 0", "go", "frame 1200000000", "inbox sender-0 2 BJEA",
		"finished sender-0 t/a 200000000 0 endpoint_a 0 UNAVAILABLE - -", "knock sender-0 t/b 0 0 - 7000000000 - 57 0", "go")
	// Output:
	// timer	sender-0	50000000	0
	// timer	sender-0	5590100000	1
	// submit_to	sender-0	t/a	4400000000	endpoint_a
	// done
	// publish	sender-0	*	RHsA
	// free_links	sender-0	endpoint_a
	// timer	sender-0	40700000	2
	// timer	sender-0	5390100000	3
	// timer	sender-0	5390100000	4
	// submit_to	sender-0	t/b	4400000000	endpoint_a
	// done
}

// The lines of a sender that crashes in a batch are dropped, and it may start again at once.
func Example_crash() {
	play(opening("knock sender-0 t/a 0 0 - 1000000001 - 57 0", "crash_now sender-0",
		"start sender-0 8 "+boot, "targets sender-0 C 1 3", "go")...)
	// Output:
	// timer	sender-0	50000000	0
	// done
}

func Example_malformed() {
	play("frame soon")
	play("frame 5", "frame 6")
	play(opening("knock sender-0 t/a 0 0 - never - 57 0")...)
	play(opening("knock sender-0 t/a 4 0 - 7000000000 - 57 0")...)
	play(opening("finished sender-0 t/a 1 0 endpoint_a 1 WELL - -")...)
	play(opening("surprise sender-0")...)
	play(opening("left sender-9 t/a")...)
	play(opening("targets sender-0 F 1 99")...)
	play(opening("left sender-0 t/a b")...)
	play("frame 5", "start sender-0 7 {")
	play("frame 5", "start sender-0 7 {}")
	play("frame 5", "catalog 3 2", "go")
	play("frame 5")
	// Output:
	// line 1: field clock: "soon" is not a whole number
	// line 2: field event: unknown event "frame"
	// line 6: field dropDead: "never" is not a whole number
	// line 6: field cls: no class 4
	// line 6: field outcome: unknown word "WELL"
	// line 6: field event: unknown event "surprise"
	// line 6: field sender: "sender-9" has not started
	// line 6: field rosterId: no list 99
	// line 6: field end: the line goes on after its last field
	// line 2: field bootInfo: unexpected end of JSON input
	// line 2: field bootInfo: classes: missing
	// line 3: field event: "go" where 2 more items were due
	// line 2: input ends inside a batch
}

// Callers find out by the error's type which line and which field is wrong.
func TestErrorsAreTyped(t *testing.T) {
	err := Run(strings.NewReader("frame\t5\nstart\tsender-0\tseven\n"), io.Discard)
	var line *LineError
	var field *fielderror.Error
	if !errors.As(err, &line) || line.Line != 2 || !errors.As(err, &field) || field.Field != "rngSeed" {
		t.Errorf("%#v", err)
	}
}

// FuzzRun: no input may crash the adapter, and an answer comes only for a complete batch.
func FuzzRun(f *testing.F) {
	f.Add(strings.ReplaceAll(strings.Join(opening("knock sender-0 t/a 0 0 - 7000000000 - 57 0", "go"), "\n"), " ", "\t"))
	f.Fuzz(func(t *testing.T, text string) {
		var out bytes.Buffer
		Run(strings.NewReader(text), &out)
		if replies, batches := strings.Count(out.String(), "done\n"), strings.Count("\n"+text, "\ngo"); replies > batches {
			t.Fatalf("%d replies to %d batches", replies, batches)
		}
	})
}

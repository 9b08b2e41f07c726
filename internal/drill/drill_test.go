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

func runLines(lines ...string) {
	text := strings.ReplaceAll(strings.Join(lines, "\n")+"\n", " ", "\t")
	if err := Run(strings.NewReader(text), os.Stdout); err != nil {
		fmt.Println(err)
	}
}

func startLines(more ...string) []string {
	return append([]string{"frame 1000000000", "start sender-0 7 " + boot, "catalog 3 1",
		"item - 0 1 endpoint_a 0 57 ready", "targets sender-0 C 1 3"}, more...)
}

func Example_batch() {
	runLines(startLines("knock sender-0 t/a 0 0 - 7000000000 - 57 0", "go", "frame 1200000000",
		"finished sender-0 t/a 200000000 0 endpoint_a 1 OK - 0.4,3", "left sender-0 t/zz", "go")...)
	// Output:
	// timer	sender-0	50000000	0
	// timer	sender-0	5590100000	1
	// submit_to	sender-0	t/a	4400000000	endpoint_a
	// done
	// done
}

// Notes are exchanged in both directions. A failed connection is reported to all peers, and a note about a limit from a
// peer pauses the route.
func Example_notes() {
	fleet := strings.NewReplacer(`"balancers":2`, `"balancers":20`, `"probing":true`, `"probing":true,"peers":true`).Replace(boot)
	runLines("frame 1000000000", "start sender-0 7 "+fleet, "catalog 3 1", "item - 0 1 endpoint_a 0 57 ready", "targets sender-0 C 1 3",
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

// The lines of a sender that crashes during a batch are dropped, and the sender may start again in the same batch.
func Example_crash() {
	runLines(startLines("knock sender-0 t/a 0 0 - 1000000001 - 57 0", "crash_now sender-0",
		"start sender-0 8 "+boot, "targets sender-0 C 1 3", "go")...)
	// Output:
	// timer	sender-0	50000000	0
	// done
}

func Example_malformed() {
	runLines("frame soon")
	runLines("frame 5", "frame 6")
	runLines(startLines("knock sender-0 t/a 0 0 - never - 57 0")...)
	runLines(startLines("knock sender-0 t/a 4 0 - 7000000000 - 57 0")...)
	runLines(startLines("finished sender-0 t/a 1 0 endpoint_a 1 WELL - -")...)
	runLines(startLines("surprise sender-0")...)
	runLines(startLines("left sender-9 t/a")...)
	runLines(startLines("targets sender-0 F 1 99")...)
	runLines(startLines("left sender-0 t/a b")...)
	runLines("frame 5", "start sender-0 7 {")
	runLines("frame 5", "start sender-0 7 {}")
	runLines("frame 5", "catalog 3 2", "go")
	runLines("frame 5")
	// Output:
	// line 1: field clock: "soon" is not a whole number
	// line 2: field event: unknown event "frame"
	// line 6: field dropDead: "never" is not a whole number
	// line 6: field cls: there is no class 4
	// line 6: field outcome: unknown value "WELL"
	// line 6: field event: unknown event "surprise"
	// line 6: field sender: "sender-9" has not started
	// line 6: field rosterId: there is no list 99
	// line 6: field end: the line has further fields
	// line 2: field bootInfo: unexpected end of JSON input
	// line 2: field bootInfo: classes: missing
	// line 3: field event: got "go", want 2 more item lines of the catalog
	// line 2: input ends inside a batch
}

// TestErrorsAreTyped checks that the type of an error gives callers the line and the field that is wrong.
func TestErrorsAreTyped(t *testing.T) {
	err := Run(strings.NewReader("frame\t5\nstart\tsender-0\tseven\n"), io.Discard)
	var line *LineError
	var field *fielderror.Error
	if !errors.As(err, &line) || line.Line != 2 || !errors.As(err, &field) || field.Field != "rngSeed" {
		t.Errorf("Run = %#v, want a LineError of line 2 for field rngSeed", err)
	}
}

// FuzzRun checks that no input crashes the adapter, and that only a complete batch is answered.
func FuzzRun(f *testing.F) {
	f.Add(strings.ReplaceAll(strings.Join(startLines("knock sender-0 t/a 0 0 - 7000000000 - 57 0", "go"), "\n"), " ", "\t"))
	f.Fuzz(func(t *testing.T, text string) {
		var out bytes.Buffer
		Run(strings.NewReader(text), &out)
		if replies, batches := strings.Count(out.String(), "done\n"), strings.Count("\n"+text, "\ngo"); replies > batches {
			t.Fatalf("%d replies for %d complete batches", replies, batches)
		}
	})
}

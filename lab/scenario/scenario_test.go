package scenario

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// wholeScenario is a valid scenario file with a table of each kind that the tests change.
const wholeScenario = `name = "whole"
seconds = 10
senders = 2

[load]
rate = 20

[[workload]]
name = "status"
contract_ms = 800
hard_stop_ms = 5000

[[partner]]
name = "small"
count = 4

[[trouble]]
kind = "crash"
at = 2
seconds = 3
part = {share = 0.3}
`

// Each invalid change of a valid file is reported with the file, the line and the field.
func ExampleParse() {
	for _, change := range [][2]string{
		{"", ""},
		{"rate = 20", "rate = 20\nrates = 3"},
		{"rate = 20", "rate = \"fast\""},
		{"rate = 20", "rate = -1"},
		{"seconds = 3", "seconds = 30"},
		{`kind = "crash"`, `kind = "crush"`},
		{"share = 0.3", `kind = "large"`},
		{"share = 0.3", "partners = [4]"},
		{"hard_stop_ms = 5000", "hard_stop_ms = 500"},
		{"rate = 20", "rate = 20\ntrace = \"nowhere.jsonl\""},
		{"count = 4", "count = 4\n[[partner]]\nname = \"small\""},
		{"seconds = 10", "seconds = "},
	} {
		_, err := Parse("s.toml", []byte(strings.Replace(wholeScenario, change[0], change[1], 1)))
		fmt.Println(err)
	}
	// Output:
	// <nil>
	// s.toml:7: field load.rates: there is no such field
	// s.toml:6: field load.rate: cannot decode TOML string into struct field load.Spec.Rate of type float64
	// s.toml:6: field load.rate: -1 is not within 0.001 and 1e+06
	// s.toml:20: field trouble[0].seconds: ends at 32 s, past the run's end at 10 s
	// s.toml:18: field trouble[0].kind: unknown kind of fault "crush"; `flaxcove lab scenarios --troubles` lists the kinds
	// s.toml:21: field trouble[0].part: there is no kind of partner "large"
	// s.toml:21: field trouble[0].part: there is no partner 4: the scenario has 4, counted from 0
	// s.toml:11: field workload[0].hard_stop_ms: 500 is not within 800 and 8.64e+07
	// s.toml:7: field load.trace: open nowhere.jsonl: no such file or directory
	// s.toml:17: field partner[1].name: "small" is already used by partner[0]
	// s.toml:2: unexpected character U+000A at start of value
}

// TestScenariosRoundTrip checks that a scenario that is written, read and written again gives the same text.
func TestScenariosRoundTrip(t *testing.T) {
	s, err := Parse("s.toml", []byte(wholeScenario))
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(r *rapid.T) {
		spec := *s.Spec
		spec.Seconds = rapid.Float64Range(10, 1000).Draw(r, "seconds")
		spec.Load.Rate = rapid.Float64Range(1, 1000).Draw(r, "rate")
		spec.Senders = rapid.IntRange(1, 50).Draw(r, "senders")
		text, err := Write(&spec)
		if err != nil {
			r.Fatal(err)
		}
		back, err := Parse("t.toml", text)
		if err != nil {
			r.Fatalf("%v\n%s", err, text)
		}
		if again, _ := Write(back.Spec); string(again) != string(text) {
			r.Fatalf("written:\n%s\nwritten again after reading:\n%s", text, again)
		}
	})
}

// TestLibraryScenariosAreValid checks that each built-in scenario is valid, is named after its file and has a description.
func TestLibraryScenariosAreValid(t *testing.T) {
	for _, name := range Names() {
		s, err := Find(name, "")
		if err != nil {
			t.Error(err)
		} else if s.Spec.Name != name || s.Spec.About == "" {
			t.Errorf("scenario %s has the name %q and the description %q", name, s.Spec.Name, s.Spec.About)
		}
	}
}

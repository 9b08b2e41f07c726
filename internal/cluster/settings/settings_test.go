package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"flaxcove/internal/cluster/view"
)

// ExampleParse shows that all problems of a file are reported at once: unknown fields, wrong types, values out of range
// and contradictions.
func ExampleParse() {
	_, err := Parse("bad.toml", []byte(`name = "two words"
founders = ["a", "nobody", "a"]
colour = "red"

[here]
process = "a"
zone = "east"
size = "medium"
gossip = "10.0.0.1:7101"
council = "127.0.0.1"
http = ":7103"
beyond_loopback = "no"

[zones]
east = "coast"
south = 3

[[member]]
name = "b"
zone = "west"
gossip = "127.0.0.1:7103"
council = "127.0.0.1:0"
http = ":7203"

[[member]]
name = "b"
zone = "east"
gossip = "h:1"
council = "h:2"
http = "h:2"

[[member]]
name = "a"
zone = "south"

[bounds]
destinations = 3
purges = 1.5
`))
	fmt.Println(err)
	// Output:
	// bad.toml:1: field name: "two words" is not a valid name: letters, digits, '.', '_' and '-', the first a letter or digit, 63 characters at most
	// bad.toml:2: field founders: "nobody" is neither a member nor this process
	// bad.toml:2: field founders: "a" is listed twice
	// bad.toml:3: field colour: there is no such field
	// bad.toml:5: field here.folder: missing
	// bad.toml:8: field here.size: "medium" is neither large nor small
	// bad.toml:9: field here.gossip: "10.0.0.1:7101" is not on loopback, and here.beyond_loopback is not set
	// bad.toml:10: field here.council: "127.0.0.1" is not host:port
	// bad.toml:12: field here.beyond_loopback: must be true or false, not no
	// bad.toml:16: field zones.south: must be a string in quotes, not 3
	// bad.toml:20: field member[0].zone: "west" is not in the table [zones]
	// bad.toml:21: field member[0].gossip: 127.0.0.1:7103 is already the address of here.http
	// bad.toml:22: field member[0].council: "127.0.0.1:0": the port must be from 1 to 65535
	// bad.toml:23: field member[0].http: ":7203" has no host
	// bad.toml:26: field member[1].name: "b" is already the name of member[0]
	// bad.toml:30: field member[1].http: h:2 is already the address of member[1].council
	// bad.toml:34: field member[2].zone: "south" differs from here.zone, "east", although the member is this process
	// bad.toml:37: field bounds.destinations: 3 is out of range: must be from 16 to 1000000
	// bad.toml:38: field bounds.purges: must be an integer, not 1.5
}

// TestExampleFile checks that deploy/cluster.toml is valid, shows the defaults of the bounds, and causes no warning.
func TestExampleFile(t *testing.T) {
	path := filepath.Join("..", "..", "..", "deploy", "cluster.toml")
	got, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	folder, _ := filepath.Abs("state/cluster/anna")
	want := &Settings{Cluster: "example",
		Self: Self{"anna", "east", "coast", view.Large, folder,
			Addresses{"127.0.0.1:7101", "127.0.0.1:7102", "127.0.0.1:7103"}},
		Members: []Member{{"bert", "west", "coast", Addresses{"127.0.0.1:7201", "127.0.0.1:7202", "127.0.0.1:7203"}},
			{"cara", "north", "hills", Addresses{"127.0.0.1:7301", "127.0.0.1:7302", "127.0.0.1:7303"}}},
		Zones:         map[view.Zone]view.Region{"east": "coast", "west": "coast", "north": "hills"},
		InitialVoters: []view.Name{"anna", "bert", "cara"}, Features: Features{Failover: true, Purges: true},
		Bounds: Bounds{defaultDestinations, defaultSmallDestinations, defaultSmallBytes, defaultPurges}}
	if d := cmp.Diff(want, got); d != "" {
		t.Fatal(d)
	}
	text, _ := os.ReadFile(path)
	i := strings.Index(string(text), "[bounds]")
	if short, err := Parse("short", text[:i]); err != nil || short.Bounds != want.Bounds {
		t.Fatal("the bounds in the example are not the defaults of the code", short, err)
	}
}

// minimalFile is a cluster file with verbs for the list of founders, the HTTP address and beyond_loopback.
const minimalFile = `name = "c"
founders = [%s]
[here]
process = "a"
zone = "z"
folder = "f"
gossip = ":1"
council = "localhost:2"
http = "%s"
beyond_loopback = %v
[zones]
z = "r"
[[member]]
name = "a"
zone = "z"
council = "127.0.0.1:9"
[[member]]
name = "b"
zone = "z"
gossip = "h:1"
council = "h:2"
http = "h:3"
`

// TestSelfAmongMembersAndWarnings checks the addresses of this process as a member, the warnings about founders, and
// which listen addresses beyond loopback are accepted.
func TestSelfAmongMembersAndWarnings(t *testing.T) {
	s, err := Parse("f", fmt.Appendf(nil, minimalFile, `"a", "b"`, "[::1]:3", false))
	if err != nil {
		t.Fatal(err)
	}
	if got, known := s.Reach("a"); !known || got != (Addresses{"127.0.0.1:1", "127.0.0.1:9", "[::1]:3"}) {
		t.Fatal(got, known)
	}
	if _, known := s.Reach("x"); known {
		t.Fatal("Reach returned addresses of a process that the file does not name")
	}
	if len(s.Warnings) != 2 {
		t.Fatal("want 2 warnings, got", s.Warnings)
	}
	for listen, ok := range map[string]bool{"10.0.0.1:3": true, "0.0.0.0:3": false, "host:3": false} {
		if _, err := Parse("f", fmt.Appendf(nil, minimalFile, `"a"`, listen, true)); (err == nil) != ok {
			t.Error(listen, err)
		}
	}
	if _, err := Parse("f", []byte("[[here]]\nx = 1\n")); err == nil || !strings.Contains(err.Error(), "f:1") {
		t.Fatal(err)
	}
}

// FuzzParse checks that Parse returns either settings or an error.
func FuzzParse(f *testing.F) {
	f.Add(fmt.Appendf(nil, minimalFile, `"a"`, ":3", true))
	f.Add([]byte("founders = [1, {a = 2}]\n[zones]\n\"\" = []\n[[member]]\nname = 1\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := Parse("f", text); (s == nil) == (err == nil) {
			t.Fatal("want either settings or an error, got neither or both", s, err)
		}
	})
}

package host

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"

	"flaxcove/lab/scale/fleet"
	"flaxcove/lab/scale/hollow"
)

// TestHost runs three members in one host. It cuts one off, then kills another and starts it again, and checks that the members
// see each other as expected after each step.
func TestHost(t *testing.T) {
	spec := Spec{Fleet: fleet.Size{Members: 3, Zones: 1, Regions: 1, Large: 3, Port: freePort(t), Uses: []string{"failover", "purges"}},
		Members: []int{0, 1, 2}, Load: hollow.Load{Destinations: 20, Zones: 1, Rate: 10, Down: 0.1, OutageS: 5, EndpointZones: 1}, Folder: t.TempDir(),
		Began: time.Now().UnixNano()}
	orders, toHost := io.Pipe()
	fromHost, answers := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		ended <- Main(orders, answers)
		answers.Close()
	}()
	say := json.NewEncoder(toHost)
	if err := say.Encode(spec); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(fromHost)
	lines.Buffer(nil, maxLine)
	ask := func(o Order) (a Answer) {
		t.Helper()
		if err := say.Encode(o); err != nil {
			t.Fatal(err)
		}
		if !lines.Scan() {
			t.Fatalf("%s: the host ended: %v", o.Kind, lines.Err())
		}
		if err := json.Unmarshal(lines.Bytes(), &a); err != nil {
			t.Fatal(err)
		}
		return a
	}
	await := func(what string, want func([]MemberState) bool) {
		t.Helper()
		for began := time.Now(); !want(ask(Order{Kind: ReportState}).States); time.Sleep(100 * time.Millisecond) {
			if time.Since(began) > 2*time.Minute {
				t.Fatalf("%s: expected states not reached within two minutes: %+v", what, ask(Order{Kind: ReportState}).States)
			}
		}
	}
	alive := func(counts ...int) func([]MemberState) bool {
		return func(states []MemberState) bool {
			for i, n := range counts {
				if states[i].Alive != n || n > 1 && states[i].Leader == "" {
					return false
				}
			}
			return true
		}
	}
	if a := ask(Order{Kind: Start}); a.Error != "" {
		t.Fatal(a.Error)
	}
	await("start", alive(3, 3, 3))
	ask(Order{Kind: Cut, Separated: []int{2}})
	await("cut", func(s []MemberState) bool { return s[0].Alive == 2 && s[1].Alive == 2 && s[2].Alive == 1 })
	ask(Order{Kind: Cut})
	await("end of the cut", alive(3, 3, 3))
	ask(Order{Kind: Kill, Members: []int{1}})
	await("kill", func(s []MemberState) bool { return s[0].Alive == 2 && !s[1].Up && s[2].Alive == 2 })
	ask(Order{Kind: Start, Members: []int{1}})
	await("restart", alive(3, 3, 3))
	a := ask(Order{Kind: ReportUsage})
	if a.Usage == nil || a.Usage.CPU <= 0 || a.Traffic[0].Out == 0 || a.Traffic[0].Packets == 0 {
		t.Errorf("measured usage and traffic: %+v", a)
	}
	if a := ask(Order{Kind: ReportMemory}); a.Usage.Heap == 0 {
		t.Errorf("measured memory: %+v", a)
	}
	if a := ask(Order{Kind: Start, Members: []int{7}}); a.Error == "" {
		t.Error("the host accepted an order for a member that it does not run")
	}
	toHost.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// freePort returns a port that is free at the address of the first member. The next two ports, which are not checked, are rarely
// in use.
func freePort(t *testing.T) int {
	listener, err := net.Listen("tcp", "127.200.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

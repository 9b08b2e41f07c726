package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"flaxcove/internal/cluster/settings"
	"flaxcove/internal/cluster/status"
	"flaxcove/lab/cluster/relay"
	"flaxcove/lab/cluster/schedule"
	"flaxcove/lab/live"
	"flaxcove/lab/scale/host"
	"flaxcove/lab/world"
)

// This file runs the real members: processes of flaxcove serve with a world of partners, started by package live.

const (
	statusTimeout  = 3 * time.Second
	maxLoadSeconds = 3600 // bound in seconds; a run ends earlier, after the last schedule
	maxListeners   = 3600 // bound on endpoints times senders, since lab/live opens a listener for each pair
)

// realRun is the state of the real members' run.
type realRun struct {
	control *live.RunControl // nil without real members
	relays  []*relay.Relay
	client  http.Client
	stop    context.CancelFunc
	ended   chan error
	// slowEnd describes a real member that was slow to end, or is "". It may be read once ended has delivered and becomes part
	// of the result. A member that died, hung or did not start makes the run fail instead.
	slowEnd string
}

// startReal starts the real members, if there are any, and waits until their world has begun.
func (r *run) startReal(ctx context.Context) error {
	r.realMembers = r.fleet.RealMembers()
	if len(r.realMembers) == 0 {
		return nil
	}
	if len(r.realMembers) != r.options.Fleet.Real {
		return fmt.Errorf("only %d of %d real members can be placed: ask for fewer, or for more members in each zone", len(r.realMembers), r.options.Fleet.Real)
	}
	relayed, err := r.openRelays()
	if err != nil {
		return err
	}
	ctx, r.real.stop = context.WithCancel(ctx)
	begun := make(chan *live.RunControl, 1)
	r.real.ended = make(chan error, 1)
	options := live.Options{Spec: r.worldOf(), Seed: r.options.Load.Seed, Command: r.options.ServeCommand, KeepVerdict: true, Logs: r.options.Logs,
		SenderArgs:  func(s world.SenderNo, home string) ([]string, error) { return r.writeClusterFile(s, home, relayed) },
		OnBegin:     func(control *live.RunControl) { begun <- control },
		KeepRunning: func() bool { return true }}
	go func() { r.real.ended <- r.runReal(ctx, options) }()
	select {
	case r.real.control = <-begun:
		return nil
	case err := <-r.real.ended:
		r.real.ended <- err
		return fmt.Errorf("starting real members: %w", err)
	}
}

// writeClusterFile writes the cluster file of a real member and returns the arguments that name it.
func (r *run) writeClusterFile(s world.SenderNo, home string, relayed []int) ([]string, error) {
	r.realHomes = append(r.realHomes, home)
	path := filepath.Join(home, "cluster.toml")
	text := r.fleet.File(r.realMembers[s].No, filepath.Join(home, "cluster"), relayed)
	return []string{"--cluster", path}, os.WriteFile(path, text, 0o644)
}

// runReal runs the real members until ctx ends. A member that is slow to end is not an error, since that depends on how busy the
// machine is.
func (r *run) runReal(ctx context.Context, options live.Options) error {
	result, err := live.Run(ctx, options)
	switch {
	case err != nil:
		return err
	case result.SlowEnd:
		r.real.slowEnd = result.Fault
	case result.Fault != "":
		return fmt.Errorf("real members: %s", result.Fault)
	}
	return nil
}

// openRelays opens relays to each member of the last region if a schedule has a cut, and returns the numbers of these members.
// Hollow members apply a cut themselves; real members need relays for it.
func (r *run) openRelays() (relayed []int, err error) {
	if len(r.realMembers) == len(r.fleet.Members) {
		return nil, nil
	}
	cuts := slices.ContainsFunc(r.options.Schedules, func(s *schedule.Schedule) bool {
		return slices.ContainsFunc(s.Faults, func(f schedule.Fault) bool { return f.Kind == "cut" })
	})
	for _, m := range r.fleet.Members {
		if !cuts || m.Region != r.fleet.LastRegion() {
			continue
		}
		from, to := r.fleet.RelayAddresses(m.No), r.fleet.Addresses(m.No)
		for _, way := range [][2]string{{from.Gossip, to.Gossip}, {from.Consensus, to.Consensus}, {from.HTTP, to.HTTP}} {
			one, err := relay.Open(way[0], way[1])
			if err != nil {
				return nil, err
			}
			r.real.relays = append(r.real.relays, one)
		}
		relayed = append(relayed, m.No)
	}
	return relayed, nil
}

// worldOf returns a world without faults, with the load for real members from the options.
func (r *run) worldOf() *world.Spec {
	spec := world.DefaultSpec()
	n := len(r.realMembers)
	spec.Name, spec.Seconds, spec.Senders, spec.Zones = "scale", maxLoadSeconds, n, r.fleet.RealZones()
	spec.Load.Rate = max(1, r.options.RealRate*float64(n))
	spec.Classes = []world.Class{{Name: "status", LatencyObjectiveMS: 1500, DeadlineMS: 4000}}
	ends := min(2, spec.Zones)
	count := max(1, min(r.options.RealDestinations, maxListeners/n/ends))
	spec.Partners = []world.PartnerKind{{Name: "shop", Count: count, Endpoints: world.Pair{float64(ends), float64(ends)}, Headroom: world.Pair{3, 4}, LeastRate: 40}}
	spec.Defaults()
	return &spec
}

// cutReal makes the relays drop everything if lost is set, and forward again otherwise.
func (r *run) cutReal(lost bool) {
	for _, one := range r.real.relays {
		one.Set(relay.Forward, relay.Fault{Drop: lost})
		one.Set(relay.Backward, relay.Fault{Drop: lost})
	}
}

// actOnReal applies an action to the real members among the given members. It waits for each until it is done, but no longer
// than hostEndTimeout.
func (r *run) actOnReal(members map[int]bool, action world.Action) {
	if r.real.control == nil {
		return
	}
	for s, m := range r.realMembers {
		if members[m.No] {
			done := make(chan struct{})
			r.real.control.Post(func() {
				r.real.control.Act(world.SenderNo(s), action)
				close(done)
			})
			select {
			case <-done:
			case <-time.After(hostEndTimeout):
			}
		}
	}
}

// statusOf returns the status of a real member and the length of the answer in bytes, which the counters in the status do not
// include yet.
func (r *run) statusOf(ctx context.Context, no int) (s *status.Status, length int, err error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.address(no).HTTP+"/v1/cluster", nil)
	if err != nil {
		return nil, 0, err
	}
	answer, err := r.real.client.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, 0, err
	}
	s = &status.Status{}
	return s, len(text), json.Unmarshal(text, s)
}

// address returns the addresses of a member.
func (r *run) address(no int) settings.Addresses { return r.fleet.Addresses(no) }

// realStates polls the states of the real members. One that does not answer counts as not up.
func (r *run) realStates(ctx context.Context) (all []host.MemberState) {
	for _, m := range r.realMembers {
		if s, _, err := r.statusOf(ctx, m.No); err == nil {
			all = append(all, host.StateOf(m.No, s))
		} else {
			all = append(all, host.MemberState{No: m.No})
		}
	}
	return all
}

// stopReal stops the real members and closes their relays.
func (r *run) stopReal() error {
	defer r.real.client.CloseIdleConnections()
	defer func() {
		for _, one := range r.real.relays {
			one.Close()
		}
	}()
	if r.real.stop == nil {
		return nil
	}
	r.real.stop()
	err := <-r.real.ended
	r.result.Fault = r.real.slowEnd
	return err
}

// processOf returns the process id of a real member, found by the cluster file on its command line, or 0.
func (r *run) processOf(no int) int {
	folders, _ := os.ReadDir("/proc")
	for _, f := range folders {
		pid, err := strconv.Atoi(f.Name())
		if err != nil {
			continue
		}
		line, _ := os.ReadFile(filepath.Join("/proc", f.Name(), "cmdline"))
		for word := range strings.SplitSeq(string(line), "\x00") {
			if !strings.HasSuffix(word, "cluster.toml") {
				continue
			}
			text, _ := os.ReadFile(word)
			if strings.Contains(string(text), "http = \""+r.address(no).HTTP+"\"") &&
				strings.Contains(string(text), fmt.Sprintf("process = %q", r.fleet.Members[no].Name)) {
				return pid
			}
		}
	}
	return 0
}

// Package fleet lays out the members of a scale run: their names, zones, roles, addresses and cluster files.
//
// It is pure: the same Size gives the same fleet in every process of a run. Roles are derived with the program's own package
// internal/cluster/tree. All addresses are on loopback.
package fleet

import (
	"fmt"
	"slices"

	"flaxcove/internal/cluster/settings"
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
)

// Size describes a fleet. All counts except Large are of the whole fleet.
type Size struct {
	Members int `json:"members"`
	Real    int `json:"real"` // number of members that are processes of the program
	Zones   int `json:"zones"`
	Regions int `json:"regions"`
	// Large is the number of members of each zone that have the large size and may coordinate and vote. The others are small.
	Large int      `json:"large"`
	Port  int      `json:"port"` // port of gossip; consensus and HTTP use the next two
	Uses  []string `json:"uses"` // enabled parts of the cluster
}

// Role is the highest role of a member in the cluster while all members are up.
type Role string

// Roles, the highest first.
const (
	Root              Role = "root"
	RegionCoordinator Role = "region head"
	ZoneCoordinator   Role = "zone head"
	GroupCoordinator  Role = "group head" // other members of its zone report to it
	Voter             Role = "voter"      // of the consensus group, with none of the roles above
	Plain             Role = "sender"     // coordinates nothing and does not vote
)

// Roles holds all roles, the highest first.
var Roles = []Role{Root, RegionCoordinator, ZoneCoordinator, GroupCoordinator, Voter, Plain}

// Member is one member of a fleet. No is its index in Fleet.Members.
type Member struct {
	No     int
	Name   view.Name
	Zone   view.Zone
	Region view.Region
	Large  bool
	Real   bool
	Role   Role
}

// Fleet is the layout of a fleet. It is immutable.
type Fleet struct {
	Size
	Members  []Member
	Founders []view.Name
}

const (
	clusterName  = "scale"
	founderCount = 5
	hostsPerNet  = 250 // number of addresses that are used of each network of 256
)

// Plan returns the fleet of a given size. Regions consist of consecutive zones; if the number of zones differs between regions,
// the last region has fewest.
func Plan(size Size) *Fleet {
	f := &Fleet{Size: size}
	perZone := map[view.Zone]int{}
	for i := range size.Members {
		zone := i % size.Zones
		m := Member{No: i, Name: view.Name(fmt.Sprintf("m%03d", i)), Zone: ZoneName(zone), Region: f.regionOf(zone), Role: Plain}
		m.Large = perZone[m.Zone] < size.Large
		perZone[m.Zone]++
		f.Members = append(f.Members, m)
	}
	f.assignRoles()
	f.chooseFounders()
	f.chooseReal()
	return f
}

// ZoneName returns the name of a zone by its number from 0. It is the same as in the laboratory's worlds.
func ZoneName(zone int) view.Zone { return view.Zone(fmt.Sprintf("z%d", zone)) }

// regionOf returns the name of the region of a zone.
func (f *Fleet) regionOf(zone int) view.Region {
	return view.Region(fmt.Sprintf("r%d", zone*f.Regions/f.Zones))
}

// assignRoles sets the roles of members in the tree while all members are up.
func (f *Fleet) assignRoles() {
	t := tree.Derive(view.New("", 0, f.ViewMembers()))
	for i := range f.Members {
		m := &f.Members[i]
		switch {
		case t.Root() == m.Name:
			m.Role = Root
		case t.RegionCoordinator(m.Region) == m.Name:
			m.Role = RegionCoordinator
		case t.ZoneCoordinator(m.Zone) == m.Name:
			m.Role = ZoneCoordinator
		case len(t.Children(m.Name)) > 0:
			m.Role = GroupCoordinator
		}
	}
}

// ViewMembers returns the members as members of a view.
func (f *Fleet) ViewMembers() (all []view.Member) {
	for _, m := range f.Members {
		size := view.Small
		if m.Large {
			size = view.Large
		}
		all = append(all, view.Member{Instance: view.Instance{Name: m.Name, Incarnation: 1}, Zone: m.Zone, Region: m.Region, Size: size})
	}
	return all
}

// chooseFounders chooses the founders from the regions in turn and, as far as possible, from different zones. It prefers members
// that coordinate nothing, so that the measured cost of the other roles does not include voting.
func (f *Fleet) chooseFounders() {
	zones := f.zonesInTurn()
	for _, plain := range []bool{true, false} {
		for at := range 2 * len(zones) {
			i := slices.IndexFunc(f.Members, func(m Member) bool {
				return m.Zone == zones[at%len(zones)] && m.Large && (m.Role == Plain) == plain && !slices.Contains(f.Founders, m.Name)
			})
			if i < 0 || len(f.Founders) >= founderCount {
				continue
			}
			if plain {
				f.Members[i].Role = Voter
			}
			f.Founders = append(f.Founders, f.Members[i].Name)
		}
	}
	slices.Sort(f.Founders)
}

// zonesInTurn returns all zones, alternating between the regions.
func (f *Fleet) zonesInTurn() (zones []view.Zone) {
	of := map[view.Region][]view.Zone{}
	for zone := range f.Zones {
		of[f.regionOf(zone)] = append(of[f.regionOf(zone)], ZoneName(zone))
	}
	for nth := range f.Zones {
		for region := range f.Regions {
			name := view.Region(fmt.Sprintf("r%d", region))
			if nth < len(of[name]) {
				zones = append(zones, of[name][nth])
			}
		}
	}
	return zones
}

// chooseReal chooses the real members among the plain senders and spreads them over the zones of RealZones. The last region has
// none, so that it can be cut off from them.
func (f *Fleet) chooseReal() {
	if f.Real >= len(f.Members) {
		for i := range f.Members {
			f.Members[i].Real = true
		}
		return
	}
	zones := f.RealZones()
	for n := range f.Real {
		zone := ZoneName(n % zones)
		i := slices.IndexFunc(f.Members, func(m Member) bool { return m.Zone == zone && m.Role == Plain && !m.Real })
		if i >= 0 {
			f.Members[i].Real = true
		}
	}
}

// RealZones returns the number of zones, counted from the first, that may have real members.
func (f *Fleet) RealZones() int {
	if f.Real >= f.Size.Members || f.Regions < 2 {
		return f.Zones
	}
	last := 0
	for zone := range f.Zones {
		if f.regionOf(zone) != f.LastRegion() {
			last = zone + 1
		}
	}
	return last
}

// LastRegion returns the region that has no real members unless all members are real.
func (f *Fleet) LastRegion() view.Region { return f.regionOf(f.Zones - 1) }

// RealMembers returns the real members in the order of the senders of their world.
func (f *Fleet) RealMembers() (all []Member) {
	for n := range f.Real {
		zone := ZoneName(n % f.RealZones())
		for _, m := range f.Members {
			if m.Real && m.Zone == zone && !slices.ContainsFunc(all, func(o Member) bool { return o.No == m.No }) {
				all = append(all, m)
				break
			}
		}
	}
	return all
}

// MemberNo returns the number of the member with a name, or -1 if there is none.
func (f *Fleet) MemberNo(name view.Name) int {
	return slices.IndexFunc(f.Members, func(m Member) bool { return m.Name == name })
}

// Addresses returns the addresses at which a member listens.
func (f *Fleet) Addresses(i int) settings.Addresses { return f.addressesIn(200, i) }

// RelayAddresses returns the addresses at which the relays to a member listen.
func (f *Fleet) RelayAddresses(i int) settings.Addresses { return f.addressesIn(210, i) }

// addressesIn returns the addresses of member i in a range of loopback networks.
func (f *Fleet) addressesIn(network, i int) settings.Addresses {
	host := fmt.Sprintf("127.%d.%d.%d", network, i/hostsPerNet, 1+i%hostsPerNet)
	port := func(n int) string { return fmt.Sprintf("%s:%d", host, f.Port+n) }
	return settings.Addresses{Gossip: port(0), Consensus: port(1), HTTP: port(2)}
}

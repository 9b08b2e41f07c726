// Package fleet lays out the members of a scale run: their names, zones, roles, addresses and cluster files.
//
// It is pure: the same Size gives the same fleet in every process of a run. Roles are derived by the program's own package
// tree. All addresses are loopback.
package fleet

import (
	"fmt"
	"slices"

	"flaxcove/internal/cluster/settings"
	"flaxcove/internal/cluster/tree"
	"flaxcove/internal/cluster/view"
)

// Size describes a fleet.
type Size struct {
	Members int `json:"members"`
	Real    int `json:"real"` // members that are processes of the program
	Zones   int `json:"zones"`
	Regions int `json:"regions"`
	// Large is how many members of each zone may coordinate and vote; the rest are of the small size.
	Large int      `json:"large"`
	Port  int      `json:"port"` // of gossip; consensus and HTTP use the next two
	Uses  []string `json:"uses"`
}

// Role is the highest duty of a member while all members are up.
type Role string

// Roles, the highest first.
const (
	Root       Role = "root"
	RegionHead Role = "region head"
	ZoneHead   Role = "zone head"
	GroupHead  Role = "group head" // others in its zone report to it
	Voter      Role = "voter"
	Plain      Role = "sender"
)

// Roles are all roles, the highest first.
var Roles = []Role{Root, RegionHead, ZoneHead, GroupHead, Voter, Plain}

// Member is one member of a fleet.
type Member struct {
	No     int
	Name   view.Name
	Zone   view.Zone
	Region view.Region
	Large  bool
	Real   bool
	Role   Role
}

// Fleet is a fleet with all its members. It is immutable.
type Fleet struct {
	Size
	Members  []Member
	Founders []view.Name
}

const (
	cluster  = "scale"
	founders = 5
	perNet   = 250 // addresses used of each network of 256
)

// Plan lays a fleet out. Regions consist of consecutive zones, so that the last one is the smallest.
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

// ZoneName is the name of a zone by its number, as in the laboratory's worlds.
func ZoneName(zone int) view.Zone { return view.Zone(fmt.Sprintf("z%d", zone)) }

func (f *Fleet) regionOf(zone int) view.Region {
	return view.Region(fmt.Sprintf("r%d", zone*f.Regions/f.Zones))
}

// assignRoles derives the roles from the tree of a fleet whose members are all up.
func (f *Fleet) assignRoles() {
	t := tree.Derive(view.New("", 0, f.ViewMembers()))
	for i := range f.Members {
		m := &f.Members[i]
		switch {
		case t.Root() == m.Name:
			m.Role = Root
		case t.RegionHead(m.Region) == m.Name:
			m.Role = RegionHead
		case t.ZoneHead(m.Zone) == m.Name:
			m.Role = ZoneHead
		case len(t.Children(m.Name)) > 0:
			m.Role = GroupHead
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
		all = append(all, view.Member{Life: view.Life{Name: m.Name, Incarnation: 1}, Zone: m.Zone, Region: m.Region, Size: size})
	}
	return all
}

// chooseFounders takes voters from the regions in turn, from different zones as far as possible, and first those that
// coordinate nothing, so that the figures of the other roles do not include voting.
func (f *Fleet) chooseFounders() {
	zones := f.zonesInTurn()
	for _, plain := range []bool{true, false} {
		for at := range 2 * len(zones) {
			i := slices.IndexFunc(f.Members, func(m Member) bool {
				return m.Zone == zones[at%len(zones)] && m.Large && (m.Role == Plain) == plain && !slices.Contains(f.Founders, m.Name)
			})
			if i < 0 || len(f.Founders) >= founders {
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

// zonesInTurn returns all zones, taken from the regions in turn.
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

// chooseReal makes plain senders real, spread over the zones of all regions but the last, which can be cut off from them.
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

// RealZones is how many zones, from the first, hold real members.
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

// LastRegion is the region without real members, unless all members are real.
func (f *Fleet) LastRegion() view.Region { return f.regionOf(f.Zones - 1) }

// RealMembers returns the real members, in the order of the world's senders.
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

// Find is a member's number by its name; -1 for none.
func (f *Fleet) Find(name view.Name) int {
	return slices.IndexFunc(f.Members, func(m Member) bool { return m.Name == name })
}

// Addresses returns the addresses at which a member listens.
func (f *Fleet) Addresses(i int) settings.Addresses { return f.at(200, i) }

// RelayAddresses returns the addresses at which the relays to a member listen.
func (f *Fleet) RelayAddresses(i int) settings.Addresses { return f.at(210, i) }

func (f *Fleet) at(network, i int) settings.Addresses {
	host := fmt.Sprintf("127.%d.%d.%d", network, i/perNet, 1+i%perNet)
	port := func(n int) string { return fmt.Sprintf("%s:%d", host, f.Port+n) }
	return settings.Addresses{Gossip: port(0), Consensus: port(1), HTTP: port(2)}
}

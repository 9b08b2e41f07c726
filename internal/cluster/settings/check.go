package settings

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"flaxcove/internal/cluster/view"
)

// settings returns the settings of a decoded file, and records every problem that it finds.
func (c *checker) settings(f *form) *Settings {
	s := &Settings{Cluster: c.name("name", f.Name), Zones: map[view.Zone]view.Region{}}
	for _, zone := range slices.Sorted(maps.Keys(f.Zones)) {
		path := "zones." + zone
		if !validName.MatchString(zone) {
			c.reject(path, "%q is not a valid name: %s", zone, nameRule)
		}
		s.Zones[view.Zone(zone)] = view.Region(c.name(path, f.Zones[zone]))
	}
	claimed := claimedAddresses{}
	s.Self = c.here(&f.Here, s.Zones, claimed)
	s.Members = c.members(f.Members, s, claimed)
	s.InitialVoters = c.initialVoters(f.Founders, s)
	s.Features = Features{
		Failover:      c.boolean("uses.failover", f.Uses.Failover),
		Purges:        c.boolean("uses.purges", f.Uses.Purges),
		Popularity:    c.boolean("uses.popularity", f.Uses.Popularity),
		Configuration: c.boolean("uses.configuration", f.Uses.Configuration),
	}
	s.Bounds = c.bounds(&f.Bounds)
	return s
}

// bounds reads the table [bounds].
func (c *checker) bounds(f *bounds) Bounds {
	return Bounds{
		Destinations: c.number("bounds.destinations", f.Destinations, defaultDestinations, minDestinations, maxDestinations),
		SmallDestinations: c.number("bounds.small_destinations", f.SmallDestinations,
			defaultSmallDestinations, minSmallDestinations, maxSmallDestinations),
		SmallBytes: c.number("bounds.small_bytes", f.SmallBytes, defaultSmallBytes, minSmallBytes, maxSmallBytes),
		Purges:     c.number("bounds.purges", f.Purges, defaultPurges, minPurges, maxPurges),
	}
}

// here reads the table [here].
func (c *checker) here(f *here, zones map[view.Zone]view.Region, claimed claimedAddresses) Self {
	h := Self{Name: view.Name(c.name("here.process", f.Process)), Size: view.Large}
	h.Zone, h.Region = c.zone("here.zone", f.Zone, zones)
	if f.Size != nil {
		word, ok := c.text("here.size", f.Size)
		if h.Size = view.Size(word); ok && h.Size != view.Large && h.Size != view.Small {
			c.reject("here.size", "%q is neither large nor small", word)
		}
	}
	h.Folder, _ = c.text("here.folder", f.Folder)
	beyondLoopback := c.boolean("here.beyond_loopback", f.BeyondLoopback)
	h.Listen = Addresses{
		c.listenAddress("here.gossip", f.Gossip, beyondLoopback),
		c.listenAddress("here.council", f.Consensus, beyondLoopback),
		c.listenAddress("here.http", f.HTTP, beyondLoopback),
	}
	claimed.claim(c, "here.gossip", h.Listen.Gossip)
	claimed.claim(c, "here.council", h.Listen.Consensus)
	claimed.claim(c, "here.http", h.Listen.HTTP)
	return h
}

// zone returns the zone that a value names, and its region. It records a problem if the table [zones] does not have it.
func (c *checker) zone(path string, value any, zones map[view.Zone]view.Region) (view.Zone, view.Region) {
	zone := view.Zone(c.name(path, value))
	region, known := zones[zone]
	if zone != "" && !known {
		c.reject(path, "%q is not in the table [zones]", zone)
	}
	return zone, region
}

// members reads the tables [[member]], and returns the members sorted by name.
func (c *checker) members(forms []member, s *Settings, claimed claimedAddresses) (members []Member) {
	if len(forms) > maxMembers {
		c.reject(fmt.Sprintf("member[%d]", maxMembers), "the file has %d members, limit is %d", len(forms), maxMembers)
	}
	firstIndex := map[view.Name]int{}
	for i := range forms {
		f, at := &forms[i], fmt.Sprintf("member[%d].", i)
		m := Member{Name: view.Name(c.name(at+"name", f.Name))}
		m.Zone, m.Region = c.zone(at+"zone", f.Zone, s.Zones)
		if j, twice := firstIndex[m.Name]; twice && m.Name != "" {
			c.reject(at+"name", "%q is already the name of member[%d]", m.Name, j)
		} else {
			firstIndex[m.Name] = i
		}
		self := m.Name != "" && m.Name == s.Self.Name
		if self && m.Zone != "" && s.Self.Zone != "" && m.Zone != s.Self.Zone {
			c.reject(at+"zone", "%q differs from here.zone, %q, although the member is this process", m.Zone, s.Self.Zone)
		}
		m.Reach = Addresses{c.memberAddress(at+"gossip", f.Gossip, self, s.Self.Listen.Gossip, claimed),
			c.memberAddress(at+"council", f.Consensus, self, s.Self.Listen.Consensus, claimed),
			c.memberAddress(at+"http", f.HTTP, self, s.Self.Listen.HTTP, claimed)}
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// memberAddress returns the address at which a member is reached. If the member is this process (self), the address may
// be omitted and is then own, on which it listens.
func (c *checker) memberAddress(path string, value any, self bool, own string, claimed claimedAddresses) string {
	if self && value == nil {
		return own
	}
	address := c.dialAddress(path, value)
	if !self || address != own {
		claimed.claim(c, path, address)
	}
	return address
}

// initialVoters returns the names of the consensus group's first voters, sorted, and adds warnings about them to s.
func (c *checker) initialVoters(value any, s *Settings) (voters []view.Name) {
	const path = "founders"
	list, isList := value.([]any)
	if value != nil && !isList {
		c.reject(path, "must be a list of names, not %v", value)
		return nil
	}
	if len(list) < 1 || len(list) > maxInitialVoters {
		c.reject(path, "has %d names: must have from 1 to %d", len(list), maxInitialVoters)
		return nil
	}
	perZone := map[view.Zone]int{}
	for _, entry := range list {
		name := view.Name(c.name(path, entry))
		switch {
		case name == "":
			continue
		case slices.Contains(voters, name):
			c.reject(path, "%q is listed twice", name)
			continue
		}
		if zone, known := s.zoneOf(name); known {
			perZone[zone]++
		} else {
			c.reject(path, "%q is neither a member nor this process", name)
		}
		voters = append(voters, name)
	}
	slices.Sort(voters)
	s.Warnings = append(s.Warnings, initialVoterWarnings(len(voters), perZone)...)
	return voters
}

// zoneOf returns the zone of a member or of this process; false for a name that is neither.
func (s *Settings) zoneOf(name view.Name) (zone view.Zone, known bool) {
	if i := slices.IndexFunc(s.Members, func(m Member) bool { return m.Name == name }); i >= 0 {
		return s.Members[i].Zone, true
	}
	if name == s.Self.Name {
		return s.Self.Zone, true
	}
	return "", false
}

// initialVoterWarnings returns warnings about an even number of initial voters, and about each zone whose loss would
// leave the consensus group without a majority.
func initialVoterWarnings(voters int, perZone map[view.Zone]int) (warnings []string) {
	if voters%2 == 0 {
		warnings = append(warnings, fmt.Sprintf("founders: %d voters tolerate no more failures than %d", voters, voters-1))
	}
	for _, zone := range slices.Sorted(maps.Keys(perZone)) {
		if n := perZone[zone]; n > 1 && 2*n >= voters {
			warnings = append(warnings, fmt.Sprintf("founders: %d of %d are in zone %q; without that zone the consensus group has no majority", n, voters, zone))
		}
	}
	return warnings
}

package settings

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"flaxcove/internal/cluster/view"
)

// settings turns the decoded file into settings and records every problem that it finds.
func (c *checker) settings(f *form) *Settings {
	s := &Settings{Cluster: c.name("name", f.Name), Zones: map[view.Zone]view.Region{}}
	for _, zone := range slices.Sorted(maps.Keys(f.Zones)) {
		path := "zones." + zone
		if !validName.MatchString(zone) {
			c.reject(path, "%q is no name: %s", zone, nameRule)
		}
		s.Zones[view.Zone(zone)] = view.Region(c.name(path, f.Zones[zone]))
	}
	claimed := claimedAddresses{}
	s.Self = c.here(&f.Here, s.Zones, claimed)
	s.Members = c.members(f.Members, s, claimed)
	s.Founders = c.founders(f.Founders, s)
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

// zone returns the zone that a value names, and its region.
func (c *checker) zone(path string, leaf any, zones map[view.Zone]view.Region) (view.Zone, view.Region) {
	zone := view.Zone(c.name(path, leaf))
	region, known := zones[zone]
	if zone != "" && !known {
		c.reject(path, "%q has no region under zones", zone)
	}
	return zone, region
}

// members reads the tables [[member]], sorted by name.
func (c *checker) members(forms []member, s *Settings, claimed claimedAddresses) (members []Member) {
	if len(forms) > maxMembers {
		c.reject(fmt.Sprintf("member[%d]", maxMembers), "%d members; at most %d", len(forms), maxMembers)
	}
	firstIndex := map[view.Name]int{}
	for i := range forms {
		f, at := &forms[i], fmt.Sprintf("member[%d].", i)
		m := Member{Name: view.Name(c.name(at+"name", f.Name))}
		m.Zone, m.Region = c.zone(at+"zone", f.Zone, s.Zones)
		if j, twice := firstIndex[m.Name]; twice && m.Name != "" {
			c.reject(at+"name", "%q is taken by member[%d]", m.Name, j)
		} else {
			firstIndex[m.Name] = i
		}
		self := m.Name != "" && m.Name == s.Self.Name
		if self && m.Zone != "" && s.Self.Zone != "" && m.Zone != s.Self.Zone {
			c.reject(at+"zone", "%q is this process, and here.zone is %q", m.Zone, s.Self.Zone)
		}
		m.Reach = Addresses{c.memberAddress(at+"gossip", f.Gossip, self, s.Self.Listen.Gossip, claimed),
			c.memberAddress(at+"council", f.Consensus, self, s.Self.Listen.Consensus, claimed),
			c.memberAddress(at+"http", f.HTTP, self, s.Self.Listen.HTTP, claimed)}
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// memberAddress returns where a member is reached. This process's own address may be omitted, and is then where it
// listens.
func (c *checker) memberAddress(path string, leaf any, self bool, own string, claimed claimedAddresses) string {
	if self && leaf == nil {
		return own
	}
	address := c.dialAddress(path, leaf)
	if !self || address != own {
		claimed.claim(c, path, address)
	}
	return address
}

// founders reads the names of the consensus group's first voters, sorted.
func (c *checker) founders(leaf any, s *Settings) (founders []view.Name) {
	const path = "founders"
	list, isList := leaf.([]any)
	if leaf != nil && !isList {
		c.reject(path, "takes a list of names, not %v", leaf)
		return nil
	}
	if len(list) < 1 || len(list) > maxFounders {
		c.reject(path, "%d named; 1 to %d begin a council", len(list), maxFounders)
		return nil
	}
	perZone := map[view.Zone]int{}
	for _, entry := range list {
		name := view.Name(c.name(path, entry))
		switch {
		case name == "":
			continue
		case slices.Contains(founders, name):
			c.reject(path, "%q stands twice", name)
			continue
		}
		if zone, known := s.zoneOf(name); known {
			perZone[zone]++
		} else {
			c.reject(path, "%q is neither a member nor this process", name)
		}
		founders = append(founders, name)
	}
	slices.Sort(founders)
	s.Warnings = append(s.Warnings, founderWarnings(len(founders), perZone)...)
	return founders
}

// zoneOf returns the zone of a member or of this process.
func (s *Settings) zoneOf(name view.Name) (zone view.Zone, known bool) {
	if i := slices.IndexFunc(s.Members, func(m Member) bool { return m.Name == name }); i >= 0 {
		return s.Members[i].Zone, true
	}
	if name == s.Self.Name {
		return s.Self.Zone, true
	}
	return "", false
}

// founderWarnings returns warnings about an even number of founders, and of a zone whose loss would cost the majority.
func founderWarnings(founders int, perZone map[view.Zone]int) (warnings []string) {
	if founders%2 == 0 {
		warnings = append(warnings, fmt.Sprintf("founders: %d outlast no more losses than %d", founders, founders-1))
	}
	for _, zone := range slices.Sorted(maps.Keys(perZone)) {
		if n := perZone[zone]; n > 1 && 2*n >= founders {
			warnings = append(warnings, fmt.Sprintf("founders: %d of %d are in zone %q; without it nothing is decided", n, founders, zone))
		}
	}
	return warnings
}

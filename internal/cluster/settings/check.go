package settings

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"flaxcove/internal/cluster/view"
)

// settings turns a form into settings and gathers all that is wrong on the way.
func (c *checker) settings(f *form) *Settings {
	s := &Settings{Cluster: c.name("name", f.Name), Zones: map[view.Zone]view.Region{}}
	for _, zone := range slices.Sorted(maps.Keys(f.Zones)) {
		path := "zones." + zone
		if !named.MatchString(zone) {
			c.wrong(path, "%q is no name: %s", zone, naming)
		}
		s.Zones[view.Zone(zone)] = view.Region(c.name(path, f.Zones[zone]))
	}
	taken := takenBy{}
	s.Here = c.here(&f.Here, s.Zones, taken)
	s.Members = c.members(f.Members, s, taken)
	s.Founders = c.founders(f.Founders, s)
	s.Uses = Uses{c.yes("uses.failover", f.Uses.Failover), c.yes("uses.purges", f.Uses.Purges),
		c.yes("uses.popularity", f.Uses.Popularity), c.yes("uses.configuration", f.Uses.Configuration)}
	b := &f.Bounds
	s.Bounds = Bounds{
		Destinations: c.number("bounds.destinations", b.Destinations,
			defaultDestinations, leastDestinations, mostDestinations),
		SmallDestinations: c.number("bounds.small_destinations", b.SmallDestinations, defaultSmall, leastSmall, mostSmall),
		SmallBytes:        c.number("bounds.small_bytes", b.SmallBytes, defaultBytes, leastBytes, mostBytes),
		Purges:            c.number("bounds.purges", b.Purges, defaultPurges, leastPurges, mostPurges),
	}
	return s
}

func (c *checker) here(f *here, zones map[view.Zone]view.Region, taken takenBy) Here {
	h := Here{Name: view.Name(c.name("here.process", f.Process)), Size: view.Large}
	h.Zone, h.Region = c.zone("here.zone", f.Zone, zones)
	if f.Size != nil {
		word, is := c.text("here.size", f.Size)
		if h.Size = view.Size(word); is && h.Size != view.Large && h.Size != view.Small {
			c.wrong("here.size", "%q is neither large nor small", word)
		}
	}
	h.Folder, _ = c.text("here.folder", f.Folder)
	beyond := c.yes("here.beyond_loopback", f.BeyondLoopback)
	h.Listen = Addresses{c.heard("here.gossip", f.Gossip, beyond), c.heard("here.council", f.Consensus, beyond),
		c.heard("here.http", f.HTTP, beyond)}
	taken.take(c, "here.gossip", h.Listen.Gossip)
	taken.take(c, "here.council", h.Listen.Consensus)
	taken.take(c, "here.http", h.Listen.HTTP)
	return h
}

// zone is a leaf's zone and the region it is in.
func (c *checker) zone(path string, leaf any, zones map[view.Zone]view.Region) (view.Zone, view.Region) {
	zone := view.Zone(c.name(path, leaf))
	region, known := zones[zone]
	if zone != "" && !known {
		c.wrong(path, "%q has no region under zones", zone)
	}
	return zone, region
}

func (c *checker) members(forms []member, s *Settings, taken takenBy) (all []Member) {
	if len(forms) > mostMembers {
		c.wrong(fmt.Sprintf("member[%d]", mostMembers), "%d members; at most %d", len(forms), mostMembers)
	}
	first := map[view.Name]int{}
	for i := range forms {
		f, at := &forms[i], fmt.Sprintf("member[%d].", i)
		m := Member{Name: view.Name(c.name(at+"name", f.Name))}
		m.Zone, m.Region = c.zone(at+"zone", f.Zone, s.Zones)
		if j, twice := first[m.Name]; twice && m.Name != "" {
			c.wrong(at+"name", "%q is taken by member[%d]", m.Name, j)
		} else {
			first[m.Name] = i
		}
		self := m.Name != "" && m.Name == s.Here.Name
		if self && m.Zone != "" && s.Here.Zone != "" && m.Zone != s.Here.Zone {
			c.wrong(at+"zone", "%q is this process, and here.zone is %q", m.Zone, s.Here.Zone)
		}
		m.Reach = Addresses{c.reach(at+"gossip", f.Gossip, self, s.Here.Listen.Gossip, taken),
			c.reach(at+"council", f.Consensus, self, s.Here.Listen.Consensus, taken),
			c.reach(at+"http", f.HTTP, self, s.Here.Listen.HTTP, taken)}
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// reach is where a member is reached. This process's own may be left out, and is where it listens then.
func (c *checker) reach(path string, leaf any, self bool, own string, taken takenBy) string {
	if self && leaf == nil {
		return own
	}
	address := c.reached(path, leaf)
	if !self || address != own {
		taken.take(c, path, address)
	}
	return address
}

func (c *checker) founders(leaf any, s *Settings) (all []view.Name) {
	const path = "founders"
	list, is := leaf.([]any)
	if leaf != nil && !is {
		c.wrong(path, "takes a list of names, not %v", leaf)
		return nil
	}
	if len(list) < 1 || len(list) > mostFounders {
		c.wrong(path, "%d named; 1 to %d begin a council", len(list), mostFounders)
		return nil
	}
	zones := map[view.Zone]int{}
	for _, each := range list {
		name := view.Name(c.name(path, each))
		i := slices.IndexFunc(s.Members, func(m Member) bool { return m.Name == name })
		switch {
		case name == "":
			continue
		case slices.Contains(all, name):
			c.wrong(path, "%q stands twice", name)
			continue
		case i >= 0:
			zones[s.Members[i].Zone]++
		case name == s.Here.Name:
			zones[s.Here.Zone]++
		default:
			c.wrong(path, "%q is neither a member nor this process", name)
		}
		all = append(all, name)
	}
	slices.Sort(all)
	if len(all)%2 == 0 {
		s.Advice = append(s.Advice, fmt.Sprintf("founders: %d outlast no more losses than %d", len(all), len(all)-1))
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if n := zones[zone]; n > 1 && 2*n >= len(all) {
			s.Advice = append(s.Advice,
				fmt.Sprintf("founders: %d of %d are in zone %q; without it nothing is decided", n, len(all), zone))
		}
	}
	return all
}

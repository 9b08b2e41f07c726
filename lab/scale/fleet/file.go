package fleet

import (
	"fmt"
	"slices"
	"strings"
)

// This file writes the cluster file of a member. It names the founders only, as seeds: the member learns of the rest of the
// fleet by gossip.

// places is the bound of localities that a member keeps health reports of: the fleet's longest list, with two zones each.
const places = 130_000

// File is the text of a member's cluster file; relayed are the numbers of the members that it reaches through relays.
func (f *Fleet) File(i int, folder string, relayed []int) []byte {
	var out strings.Builder
	say := func(format string, args ...any) { fmt.Fprintf(&out, format+"\n", args...) }
	self, own := f.Members[i], f.Addresses(i)
	say("name = %q\nfounders = [\"%s\"]", cluster, strings.Join(stringsOf(f.Founders), `", "`))
	say("\n[here]\nprocess = %q\nzone = %q\nfolder = %q", self.Name, self.Zone, folder)
	say("gossip = %q\ncouncil = %q\nhttp = %q", own.Gossip, own.Consensus, own.HTTP)
	if !self.Large {
		say("size = \"small\"")
	}
	say("\n[zones]")
	for zone := range f.Zones {
		say("%s = %q", ZoneName(zone), f.regionOf(zone))
	}
	say("\n[uses]")
	for _, use := range f.Uses {
		say("%s = true", use)
	}
	say("\n[bounds]\ndestinations = %d", places)
	for j, m := range f.Members {
		through := slices.Contains(relayed, j)
		if j == i || !through && !slices.Contains(f.Founders, m.Name) {
			continue
		}
		to := f.Addresses(j)
		if through {
			to = f.RelayAddresses(j)
		}
		say("\n[[member]]\nname = %q\nzone = %q\ngossip = %q\ncouncil = %q\nhttp = %q", m.Name, m.Zone, to.Gossip, to.Consensus, to.HTTP)
	}
	return []byte(out.String())
}

func stringsOf[T ~string](all []T) (texts []string) {
	for _, one := range all {
		texts = append(texts, string(one))
	}
	return texts
}

package fleet

import (
	"fmt"
	"slices"
	"strings"
)

// This file generates the cluster file of a member. The file lists the founders, and the members behind relays; the member
// learns of all others by gossip.

// maxLocalities is the bound on the localities of which a member keeps health reports. It suffices for the largest endpoint list
// of a planned fleet, with two zones for each destination.
const maxLocalities = 130_000

// File returns the text of the cluster file of member i, which keeps its state in folder. relayed holds the numbers of the members
// that it reaches through relays.
func (f *Fleet) File(i int, folder string, relayed []int) []byte {
	var out strings.Builder
	writeLine := func(format string, args ...any) { fmt.Fprintf(&out, format+"\n", args...) }
	self, own := f.Members[i], f.Addresses(i)
	writeLine("name = %q\nfounders = [\"%s\"]", clusterName, strings.Join(stringsOf(f.Founders), `", "`))
	writeLine("\n[here]\nprocess = %q\nzone = %q\nfolder = %q", self.Name, self.Zone, folder)
	writeLine("gossip = %q\ncouncil = %q\nhttp = %q", own.Gossip, own.Consensus, own.HTTP)
	if !self.Large {
		writeLine("size = \"small\"")
	}
	writeLine("\n[zones]")
	for zone := range f.Zones {
		writeLine("%s = %q", ZoneName(zone), f.regionOf(zone))
	}
	writeLine("\n[uses]")
	for _, use := range f.Uses {
		writeLine("%s = true", use)
	}
	writeLine("\n[bounds]\ndestinations = %d", maxLocalities)
	for j, m := range f.Members {
		through := slices.Contains(relayed, j)
		if j == i || !through && !slices.Contains(f.Founders, m.Name) {
			continue
		}
		to := f.Addresses(j)
		if through {
			to = f.RelayAddresses(j)
		}
		writeLine("\n[[member]]\nname = %q\nzone = %q\ngossip = %q\ncouncil = %q\nhttp = %q", m.Name, m.Zone, to.Gossip, to.Consensus, to.HTTP)
	}
	return []byte(out.String())
}

// stringsOf converts names to strings.
func stringsOf[T ~string](all []T) (texts []string) {
	for _, one := range all {
		texts = append(texts, string(one))
	}
	return texts
}

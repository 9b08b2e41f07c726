// Package healthreport defines the health reports of destinations as processes exchange them: counts of calls, their
// age, and the process that observed them.
//
// The types are plain data without logic. No wall-clock time is sent, since the clocks of processes differ: an age is a
// duration, and each process that forwards a sample adds the time for which it held the sample.
package healthreport

import (
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/view"
)

// Locality identifies the endpoints of one destination in one zone.
type Locality struct {
	Destination choice.DestinationID `json:"d"`
	Zone        view.Zone            `json:"z"`
}

// Sample is what one process, the reporter, observed of a locality over a time Span that ended Age ago. The counts are
// numbers of calls within Span.
type Sample struct {
	Locality
	Reporter     view.Name     `json:"w"`
	ReporterZone view.Zone     `json:"from"`
	Kind         choice.KindNo `json:"k,omitempty"`
	Age          time.Duration `json:"age"`
	Span         time.Duration `json:"span"`
	Sent         float64       `json:"sent"`
	Done         float64       `json:"done"`
	Failed       float64       `json:"failed"`
	Unanswered   float64       `json:"silent"` // those of Failed without an answer or without a connection
	Rejected     float64       `json:"refused"`
	Limit        float64       `json:"limit,omitempty"`  // calls per second from all senders that the locality last announced; 0 if none
	Rating       float64       `json:"rating,omitempty"` // sum of the ratings of the locality's endpoints
	Endpoints    int           `json:"ends,omitempty"`   // endpoints listed in the locality
	Waiting      int           `json:"held,omitempty"`   // messages waiting for the destination; set in only one of its localities
}

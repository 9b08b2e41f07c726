// Package healthreport holds health reports of destinations in the form in which processes send them: counts, their age, and
// the process that observed them.
//
// Plain data, no decision. Ages are spans, to which each process that forwards a sample adds; no wall-clock time is sent.
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

// Sample is what one process observed of a place over Span, up to Age ago.
type Sample struct {
	Locality
	Reporter     view.Name     `json:"w"`
	ReporterZone view.Zone     `json:"from"` // the witness's zone
	Kind         choice.KindNo `json:"k,omitempty"`
	Age          time.Duration `json:"age"`
	Span         time.Duration `json:"span"`
	Sent         float64       `json:"sent"` // calls in the span, and how they ended
	Done         float64       `json:"done"`
	Failed       float64       `json:"failed"`
	Unanswered   float64       `json:"silent"` // of Failed: no answer, or no connection
	Rejected     float64       `json:"refused"`
	Limit        float64       `json:"limit,omitempty"`  // calls a second that the place last announced, for all senders; 0 for none
	Rating       float64       `json:"rating,omitempty"` // sum over the place's endpoints
	Endpoints    int           `json:"ends,omitempty"`
	Waiting      int           `json:"held,omitempty"` // messages waiting for the destination, reported with one place of it
}

// Package healthreport holds what was seen of destinations, as it travels between processes: counts, their age, who saw them.
//
// Plain data, no decision. Ages are spans, added to by each that passes a row on; no wall clock crosses.
package healthreport

import (
	"time"

	"flaxcove/choice"
	"flaxcove/internal/cluster/view"
)

// Locality is the endpoints of one destination in one zone.
type Locality struct {
	Destination choice.DestinationID `json:"d"`
	Zone        view.Zone            `json:"z"`
}

// Sample is what one process saw of a place over Span, up to Age ago.
type Sample struct {
	Locality
	Witness   view.Name     `json:"w"`
	From      view.Zone     `json:"from"` // where the witness is
	Kind      choice.KindNo `json:"k,omitempty"`
	Age       time.Duration `json:"age"`
	Span      time.Duration `json:"span"`
	Sent      float64       `json:"sent"` // calls in the span, and how they ended
	Done      float64       `json:"done"`
	Failed    float64       `json:"failed"`
	Silent    float64       `json:"silent"` // of Failed: no answer, or no connection
	Refused   float64       `json:"refused"`
	Limit     float64       `json:"limit,omitempty"`  // calls a second last told, of all senders; 0 for none
	Rating    float64       `json:"rating,omitempty"` // summed over the endpoints there
	Endpoints int           `json:"ends,omitempty"`
	Held      int           `json:"held,omitempty"`
}

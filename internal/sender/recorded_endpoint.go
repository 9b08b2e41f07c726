package sender

// This file identifies endpoints in the files that one process leaves for the next.

import (
	"flaxcove/choice"
	"flaxcove/internal/directory"
)

// recordedEndpoint is an endpoint in a file of the state folder. What the file says of it applies only to an endpoint of the same
// id, destination, address and start time.
type recordedEndpoint struct {
	Endpoint    choice.EndpointID    `json:"endpoint"`
	Destination choice.DestinationID `json:"destination"`
	Addr        string               `json:"addr"`
	StartedMS   float64              `json:"started_ms,omitempty"` // not in files of older versions
}

// recordOf returns the endpoint as it is recorded.
func recordOf(e *endpoint) recordedEndpoint {
	return recordedEndpoint{e.id, e.destination, e.addr, e.listed.StartedMS}
}

// isListedAs reports whether an entry of the list is the recorded endpoint, or another start of it.
func (r *recordedEndpoint) isListedAs(e choice.Entry, listed directory.Entry) bool {
	return r.Endpoint == e.Endpoint && r.Destination == e.Destination && r.Addr == listed.Addr
}

// startedAgain reports whether the listed endpoint was started again after the recorded one. Without a start time on record it
// was if it was started after recordedAt.
func (r *recordedEndpoint) startedAgain(listed directory.Entry, recordedAt choice.Time) bool {
	if r.StartedMS > 0 {
		return listed.StartedMS > r.StartedMS
	}
	return listed.StartedMS > float64(recordedAt)/float64(choice.Millisecond)
}

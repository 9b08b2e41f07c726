// Package fair decides whether a client may have one more message accepted, so that clients that submit as much as they can
// leave places for the others.
//
// A resource is divided equally among the clients that are connected. A client may use what is free: up to its equal share
// all of it, beyond its share all but a reserve. So a single client can fill nearly the whole resource, and clients that
// come later still find room. This is max-min fairness with statistical multiplexing, without taking anything back. Clients
// that send commands without waiting for answers leave the reserve too: otherwise they would take every place that becomes
// free before a client that asks once gets it.
//
// Connections are no identity: a client that leaves its messages behind and connects again must not get a new share each
// time. Until a connection is established, what such clients have left behind counts as its own.
//
// The package performs no I/O and has no state.
package fair

const (
	// reserveDivisor is the reciprocal of the part of a resource that is kept for clients within their share.
	reserveDivisor = 16
	// newcomerReserveDivisor is the reciprocal of the part that is kept from the first message of a new connection, if clients
	// that have left hold more than a share.
	newcomerReserveDivisor = 32
)

// Resource is something that messages hold until they end, with amounts in its own unit, such as places or bytes.
type Resource struct {
	Limit    float64 // amount that all messages may hold
	Held     float64 // amount that all messages hold
	Own      float64 // amount that the messages of the client hold
	Departed float64 // amount that the messages of clients that have left hold
	Needed   float64 // amount that the new message needs
}

// Client is what is known of the client that submits a message.
type Client struct {
	Connected   int  // number of clients that are connected
	Established bool // the connection has lasted for a while, and a command on it was answered
	Pipelining  bool // the client has sent other commands that are not answered
}

// Admits reports whether a client may have a message accepted that needs the given resources.
func Admits(c Client, resources ...Resource) bool {
	for _, r := range resources {
		if !r.admits(c) {
			return false
		}
	}
	return true
}

// admits reports whether the resource has room for a message of the client.
func (r Resource) admits(c Client) bool {
	free := r.Limit - r.Held - r.Needed
	burden := r.Own + r.Needed
	if !c.Established {
		burden += r.Departed
	}
	switch share := r.Limit / max(1, float64(c.Connected)); {
	case free < 0:
		return false
	case c.Connected <= 1:
		return true // there is nobody to keep the reserve for
	case c.Pipelining:
		return free >= r.Limit/reserveDivisor
	case burden <= share:
		return true
	case !c.Established && r.Own == 0:
		return free >= r.Limit/newcomerReserveDivisor
	}
	return free >= r.Limit/reserveDivisor
}

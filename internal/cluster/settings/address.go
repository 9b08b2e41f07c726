package settings

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"
)

const loopback = "127.0.0.1"

// heard is an address to listen at: host:port, the host 127.0.0.1 if left out. One beyond loopback must be asked for.
func (c *checker) heard(path string, leaf any, beyond bool) string {
	s, is := c.text(path, leaf)
	if !is {
		return ""
	}
	host, port, err := split(s)
	if err != nil {
		c.wrong(path, "%v", err)
		return ""
	}
	if host == "" || host == "localhost" {
		host = loopback
	}
	ip, err := netip.ParseAddr(host)
	switch {
	case err != nil:
		c.wrong(path, "%q: to listen takes an IP address, not a name", s)
	case ip.IsUnspecified():
		c.wrong(path, "%q tells others no address to come to; name one", s)
	case !ip.IsLoopback() && !beyond:
		c.wrong(path, "%q is not on loopback, and here.beyond_loopback is not set", s)
	}
	return net.JoinHostPort(host, port)
}

// reached is an address to dial: host:port.
func (c *checker) reached(path string, leaf any) string {
	s, is := c.text(path, leaf)
	if !is {
		return ""
	}
	host, port, err := split(s)
	switch {
	case err != nil:
		c.wrong(path, "%v", err)
		return ""
	case host == "":
		c.wrong(path, "%q has no host", s)
	}
	return net.JoinHostPort(host, port)
}

// split parts host and port. Port 0 is refused: what the system draws, nobody else would know.
func split(s string) (host, port string, err error) {
	host, port, err = net.SplitHostPort(s)
	if err != nil || port == "" {
		return "", "", fmt.Errorf("%q is not host:port", s)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return "", "", fmt.Errorf("%q: the port is not within 1 and 65535", s)
	}
	return host, port, nil
}

// takenBy tells which field has an address already, by address. Those of one kind may not be one: gossip and others
// share TCP, so that no two of all may.
type takenBy map[string]string

func (t takenBy) take(c *checker, path, address string) {
	if address == "" {
		return
	}
	if by, taken := t[address]; taken {
		c.wrong(path, "%s is taken by %s", address, by)
		return
	}
	t[address] = path
}

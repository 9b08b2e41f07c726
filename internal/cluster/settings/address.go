package settings

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"
)

const loopback = "127.0.0.1"

// listenAddress returns an address to listen on: host:port, with host 127.0.0.1 if omitted. One beyond loopback must be
// permitted.
func (c *checker) listenAddress(path string, leaf any, beyondLoopback bool) string {
	s, ok := c.text(path, leaf)
	if !ok {
		return ""
	}
	host, port, err := splitHostPort(s)
	if err != nil {
		c.reject(path, "%v", err)
		return ""
	}
	if host == "" || host == "localhost" {
		host = loopback
	}
	ip, err := netip.ParseAddr(host)
	switch {
	case err != nil:
		c.reject(path, "%q: to listen takes an IP address, not a name", s)
	case ip.IsUnspecified():
		c.reject(path, "%q tells others no address to come to; name one", s)
	case !ip.IsLoopback() && !beyondLoopback:
		c.reject(path, "%q is not on loopback, and here.beyond_loopback is not set", s)
	}
	return net.JoinHostPort(host, port)
}

// dialAddress returns an address to dial: host:port.
func (c *checker) dialAddress(path string, leaf any) string {
	s, ok := c.text(path, leaf)
	if !ok {
		return ""
	}
	host, port, err := splitHostPort(s)
	switch {
	case err != nil:
		c.reject(path, "%v", err)
		return ""
	case host == "":
		c.reject(path, "%q has no host", s)
	}
	return net.JoinHostPort(host, port)
}

// splitHostPort splits host and port. Port 0 is rejected: nobody else would know the port that the system assigns.
func splitHostPort(s string) (host, port string, err error) {
	host, port, err = net.SplitHostPort(s)
	if err != nil || port == "" {
		return "", "", fmt.Errorf("%q is not host:port", s)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return "", "", fmt.Errorf("%q: the port is not within 1 and 65535", s)
	}
	return host, port, nil
}

// claimedAddresses holds which field has claimed an address, by address. No two fields may have the same one, as all
// kinds use TCP.
type claimedAddresses map[string]string

// claim records a field's address, or reports that another field has it.
func (t claimedAddresses) claim(c *checker, path, address string) {
	if address == "" {
		return
	}
	if owner, taken := t[address]; taken {
		c.reject(path, "%s is taken by %s", address, owner)
		return
	}
	t[address] = path
}

package settings

import (
	"fmt"
	"net"
	"net/netip"
	"strconv"
)

const loopback = "127.0.0.1"

// listenAddress returns an address to listen on, with host 127.0.0.1 if the value has none or localhost. It records a
// problem if the host is not an IP address, or is not on loopback while beyondLoopback is false.
func (c *checker) listenAddress(path string, value any, beyondLoopback bool) string {
	s, ok := c.text(path, value)
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
		c.reject(path, "%q: the host of a listen address must be an IP address, not a name", s)
	case ip.IsUnspecified():
		c.reject(path, "%q is unspecified, so other processes could not reach it; set the IP address of an interface", s)
	case !ip.IsLoopback() && !beyondLoopback:
		c.reject(path, "%q is not on loopback, and here.beyond_loopback is not set", s)
	}
	return net.JoinHostPort(host, port)
}

// dialAddress returns an address to dial. It records a problem if the value is not host:port, or if its host is empty.
func (c *checker) dialAddress(path string, value any) string {
	s, ok := c.text(path, value)
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

// splitHostPort splits an address into host and port. It rejects port 0, as other processes would not know the port
// that the system assigns.
func splitHostPort(s string) (host, port string, err error) {
	host, port, err = net.SplitHostPort(s)
	if err != nil || port == "" {
		return "", "", fmt.Errorf("%q is not host:port", s)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return "", "", fmt.Errorf("%q: the port must be from 1 to 65535", s)
	}
	return host, port, nil
}

// claimedAddresses maps each address to the path of the field that has it. No two fields may have the same address, as
// all three kinds use TCP.
type claimedAddresses map[string]string

// claim records the address of the field at path, or records a problem if another field has it.
func (t claimedAddresses) claim(c *checker, path, address string) {
	if address == "" {
		return
	}
	if owner, taken := t[address]; taken {
		c.reject(path, "%s is already the address of %s", address, owner)
		return
	}
	t[address] = path
}

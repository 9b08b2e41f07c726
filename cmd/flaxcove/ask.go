package main

// This file asks a running sender something, as a client would. It owns the sub-commands that need one; it must
// never ask twice, since what it hands in may take effect.

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/urfave/cli/v3"

	"flaxcove/internal/resp"
)

const askFor = 2 * time.Second

var addr = &cli.StringFlag{Name: "addr", Usage: "where the sender listens", Value: "127.0.0.1:6379", Sources: cli.EnvVars("EDGE_LISTEN")}

// ask sends one command and returns the answer's text; an answer that is an error comes back as one.
func ask(addr string, args ...string) (string, error) {
	conn, err := netpoll.DialConnection("tcp", addr, askFor)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetReadTimeout(askFor)
	var words [][]byte
	for _, arg := range args {
		words = append(words, []byte(arg))
	}
	if _, err := conn.Write(resp.AppendCommand(nil, words...)); err != nil {
		return "", err
	}
	var in []byte
	for {
		if _, err := conn.Reader().Peek(1); err != nil {
			return "", err
		}
		piece, err := conn.Reader().Next(conn.Reader().Len())
		if err != nil {
			return "", err
		}
		in = append(in, piece...)
		mark, text, took, err := resp.Reply(in)
		switch {
		case err != nil:
			return "", err
		case took > 0 && mark == '-':
			return "", errors.New(string(text))
		case took > 0:
			return string(text), nil
		}
	}
}

func show(text string, err error) error {
	if err == nil {
		_, err = fmt.Println(text)
	}
	return err
}

func add(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("add takes one argument, the body")
	}
	id := make([]byte, 8)
	rand.Read(id)
	list := fmt.Sprintf("c=%s,d=%d,dest=%d", c.String("class"), c.Duration("within").Milliseconds(), c.Int64("dest"))
	text, err := ask(c.String("addr"), "OUT.ADD", "0000000000000000", fmt.Sprintf("%x", id), list, c.Args().First())
	return show(fmt.Sprintf("%x %s", id, text), err)
}

func counters(_ context.Context, c *cli.Command) error { return show(ask(c.String("addr"), "INFO")) }

func ping(_ context.Context, c *cli.Command) error { return show(ask(c.String("addr"), "PING")) }

package main

// This file sends commands to a running sender, as a client would, and owns the sub-commands that do so. It never sends a
// command twice: the first may have taken effect although its answer was lost.

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

// commandTimeout bounds connecting to the sender, and each wait for its answer.
const commandTimeout = 2 * time.Second

// messageIDBytes is the length of the random id that add gives its message.
const messageIDBytes = 8

var flagAddr = &cli.StringFlag{Name: "addr", Usage: "where the sender listens", Value: "127.0.0.1:6379", Sources: cli.EnvVars("EDGE_LISTEN")}

func addCommand() *cli.Command {
	return &cli.Command{Name: "add", Usage: "hand one notice to a running sender", ArgsUsage: "BODY", Action: add, Flags: []cli.Flag{flagAddr,
		&cli.StringFlag{Name: "class", Usage: "its workload, as the settings name it", Required: true},
		&cli.Int64Flag{Name: "dest", Usage: "the number of its destination", Required: true},
		&cli.DurationFlag{Name: "within", Usage: "how long it may still be delivered", Value: 5 * time.Second}}}
}

// add hands one message to the sender, under an id and without an ordering key of its own, and prints the id and the answer.
func add(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("add takes one argument, the body")
	}
	id := make([]byte, messageIDBytes)
	rand.Read(id)
	attributes := fmt.Sprintf("c=%s,d=%d,dest=%d", c.String("class"), c.Duration("within").Milliseconds(), c.Int64("dest"))
	answer, err := sendCommand(c.String("addr"), "OUT.ADD", "0000000000000000", fmt.Sprintf("%x", id), attributes, c.Args().First())
	return printAnswer(fmt.Sprintf("%x %s", id, answer), err)
}

func counters(_ context.Context, c *cli.Command) error {
	return printAnswer(sendCommand(c.String("addr"), "INFO"))
}

func ping(_ context.Context, c *cli.Command) error {
	return printAnswer(sendCommand(c.String("addr"), "PING"))
}

// sendCommand sends one command and returns the answer's text; an answer that is an error comes back as one.
func sendCommand(addr string, words ...string) (string, error) {
	conn, err := netpoll.DialConnection("tcp", addr, commandTimeout)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetReadTimeout(commandTimeout)
	var command [][]byte
	for _, word := range words {
		command = append(command, []byte(word))
	}
	if _, err := conn.Write(resp.AppendCommand(nil, command...)); err != nil {
		return "", err
	}
	return readAnswer(conn.Reader())
}

// readAnswer reads until one answer is complete.
func readAnswer(r netpoll.Reader) (string, error) {
	var received []byte
	for {
		// Peek waits for what comes next; Next takes all that is there.
		if _, err := r.Peek(1); err != nil {
			return "", err
		}
		piece, err := r.Next(r.Len())
		if err != nil {
			return "", err
		}
		received = append(received, piece...)
		mark, text, length, err := resp.Reply(received)
		switch {
		case err != nil:
			return "", err
		case length > 0 && mark == '-':
			return "", errors.New(string(text))
		case length > 0:
			return string(text), nil
		}
	}
}

// printAnswer prints the text unless there is an error.
func printAnswer(text string, err error) error {
	if err == nil {
		_, err = fmt.Println(text)
	}
	return err
}

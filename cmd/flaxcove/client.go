package main

// This file declares the sub-commands that act as a client of a running sender. A command is sent once and never retried:
// the sender may have executed it although its answer was lost.

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

// commandTimeout bounds the time to connect to the sender, and each read of its answer.
const commandTimeout = 2 * time.Second

// messageIDBytes is the length in bytes of the random id that add gives to its message.
const messageIDBytes = 8

var flagAddr = &cli.StringFlag{Name: "addr", Usage: "address on which the sender listens", Value: "127.0.0.1:6379", Sources: cli.EnvVars("EDGE_LISTEN")}

func addCommand() *cli.Command {
	return &cli.Command{Name: "add", Usage: "submit one message to a running sender", ArgsUsage: "BODY", Action: add, Flags: []cli.Flag{flagAddr,
		&cli.StringFlag{Name: "class", Usage: "the message's class, by its name in the settings", Required: true},
		&cli.Int64Flag{Name: "dest", Usage: "the number of the message's destination", Required: true},
		&cli.DurationFlag{Name: "within", Usage: "time until the message's deadline", Value: 5 * time.Second}}}
}

// add submits one message with a random id to the sender, and prints the id and the answer. The message's ordering key is
// always 0000000000000000.
func add(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("add takes one argument, the body of the message")
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

// sendCommand sends one command and returns the text of the answer. An error answer is returned as an error.
func sendCommand(addr string, args ...string) (string, error) {
	conn, err := netpoll.DialConnection("tcp", addr, commandTimeout)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetReadTimeout(commandTimeout)
	var command [][]byte
	for _, arg := range args {
		command = append(command, []byte(arg))
	}
	if _, err := conn.Write(resp.AppendCommand(nil, command...)); err != nil {
		return "", err
	}
	return readAnswer(conn.Reader())
}

// readAnswer reads until one answer is complete, and returns its text. An error answer is returned as an error.
func readAnswer(r netpoll.Reader) (string, error) {
	var received []byte
	for {
		// Peek waits for at least one byte; Next takes all bytes that have arrived.
		if _, err := r.Peek(1); err != nil {
			return "", err
		}
		chunk, err := r.Next(r.Len())
		if err != nil {
			return "", err
		}
		received = append(received, chunk...)
		replyType, text, length, err := resp.Reply(received)
		switch {
		case err != nil:
			return "", err
		case length > 0 && replyType == '-':
			return "", errors.New(string(text))
		case length > 0:
			return string(text), nil
		}
	}
}

// printAnswer prints the text to standard output if err is nil; otherwise it returns err.
func printAnswer(text string, err error) error {
	if err == nil {
		_, err = fmt.Println(text)
	}
	return err
}

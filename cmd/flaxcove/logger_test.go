package main

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// TestLogLinesOfOneKindAreLimited guards against a log whose volume clients decide: of many lines of one kind a bounded number
// is written, the rest is counted, and lines of another kind are not affected.
func TestLogLinesOfOneKindAreLimited(t *testing.T) {
	const sent = 5000
	core, lines := observer.New(zapcore.InfoLevel)
	log := newLimitedCore(core)
	write := func(at time.Time, reason string) {
		if err := log.Write(zapcore.Entry{Message: "connection ended", Time: at}, []zapcore.Field{zap.String("side", "client"), zap.String("reason", reason)}); err != nil {
			t.Fatal(err)
		}
	}
	begin := time.Now()
	for i := range sent {
		write(begin.Add(time.Duration(i)*leftOutInterval/sent), "bad_command")
	}
	write(begin, "idle")
	if n := lines.Len(); n != linesPerSecond+1 {
		t.Errorf("%d lines were written, want %d of the flood and one other", n, linesPerSecond)
	}
	write(begin.Add(leftOutInterval), "idle")
	left := lines.FilterMessage("log lines left out").All()
	if len(left) != 1 || left[0].ContextMap()["lines"] != int64(sent-linesPerSecond) || left[0].ContextMap()["reason"] != "bad_command" {
		t.Errorf("lines left out: %v, want one line that counts %d", left, sent-linesPerSecond)
	}
}

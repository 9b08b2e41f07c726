package main

// This file makes the logger. Whatever others do must not decide how much is written: lines of one kind are limited, and the
// number of those left out is logged.

import (
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/netpoll"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// linesPerSecond is the maximum number of lines of one kind that are logged in each second.
	linesPerSecond = 100
	// leftOutInterval is the time between two lines that say how many lines were left out.
	leftOutInterval = time.Second
)

// newLogger returns a logger that writes each entry to standard error as a line of JSON. Trace enables the debug level, with
// every line; otherwise lines of one kind are limited. The library that reads sockets logs with it too.
func newLogger(trace bool) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	if trace {
		cfg.Level.SetLevel(zap.DebugLevel)
	}
	cfg.Sampling = nil
	cfg.DisableCaller, cfg.DisableStacktrace = true, true
	cfg.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	var options []zap.Option
	if !trace {
		options = append(options, zap.WrapCore(newLimitedCore))
	}
	log, err := cfg.Build(options...)
	if err != nil {
		return nil, err
	}
	netpoll.SetLoggerOutput(socketLog{log})
	return log, nil
}

// newLimitedCore returns a core that passes on at most linesPerSecond lines of one kind in each second.
func newLimitedCore(core zapcore.Core) zapcore.Core {
	return &limitedCore{Core: core, limits: &lineLimits{written: map[lineKind]int{}, leftOut: map[lineKind]int{}}}
}

// lineKind is what lines of one kind have in common. Side and reason are fields of the line, or empty.
type lineKind struct{ message, side, reason string }

// lineLimits counts the lines of each kind in the present interval. The kinds are those of the program's own messages, so
// their number is bounded.
type lineLimits struct {
	mu               sync.Mutex
	began            time.Time // the present interval
	written, leftOut map[lineKind]int
}

// limitedCore is a zapcore.Core that limits the lines of each kind.
type limitedCore struct {
	zapcore.Core
	limits *lineLimits
}

// With implements zapcore.Core.
func (c *limitedCore) With(fields []zapcore.Field) zapcore.Core {
	return &limitedCore{Core: c.Core.With(fields), limits: c.limits}
}

// Check implements zapcore.Core.
func (c *limitedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write implements zapcore.Core. Before the first line of an interval it writes what was left out in the one before.
func (c *limitedCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	write, leftOut := c.limits.count(kindOf(entry, fields), entry.Time)
	for kind, lines := range leftOut {
		summary := zapcore.Entry{Level: zapcore.WarnLevel, Time: entry.Time, LoggerName: entry.LoggerName, Message: "log lines left out"}
		if err := c.Core.Write(summary, []zapcore.Field{zap.String("of", kind.message), zap.String("side", kind.side),
			zap.String("reason", kind.reason), zap.Int("lines", lines)}); err != nil {
			return err
		}
	}
	if !write {
		return nil
	}
	return c.Core.Write(entry, fields)
}

// kindOf returns the kind of a line.
func kindOf(entry zapcore.Entry, fields []zapcore.Field) lineKind {
	kind := lineKind{message: entry.Message}
	for _, field := range fields {
		switch field.Key {
		case "side":
			kind.side = field.String
		case "reason":
			kind.reason = field.String
		}
	}
	return kind
}

// count counts a line and reports whether it is to be written. At the beginning of an interval it returns how many lines of
// each kind were left out in the one before.
func (l *lineLimits) count(kind lineKind, now time.Time) (write bool, leftOut map[lineKind]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if elapsed := now.Sub(l.began); elapsed >= leftOutInterval || elapsed < 0 {
		leftOut = l.leftOut
		l.began, l.written, l.leftOut = now, map[lineKind]int{}, map[lineKind]int{}
	}
	if l.written[kind] >= linesPerSecond {
		l.leftOut[kind]++
		return false, leftOut
	}
	l.written[kind]++
	return true, leftOut
}

// socketLog logs what the library that reads sockets writes. All its lines are of one kind.
type socketLog struct{ log *zap.Logger }

// Write implements io.Writer.
func (s socketLog) Write(text []byte) (int, error) {
	s.log.Info("sockets", zap.String("text", strings.TrimSpace(string(text))))
	return len(text), nil
}

package consensus

import (
	"bytes"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/zap"
)

// raftLogWriter passes the raft library's log lines on to zap at debug level: this package logs itself what an operator
// needs, and an unreachable peer makes the library write several lines a second.
type raftLogWriter struct{ log *zap.Logger }

// Write logs one line.
func (z *raftLogWriter) Write(line []byte) (int, error) {
	z.log.Debug(string(bytes.TrimSpace(line)))
	return len(line), nil
}

// logger returns a logger for the library, which writes nothing unless zap logs at debug level.
func (z *raftLogWriter) logger() hclog.Logger {
	level := hclog.Off
	if z.log.Core().Enabled(zap.DebugLevel) {
		level = hclog.Info
	}
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: level, Output: z, DisableTime: true})
}

package consensus

import (
	"bytes"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/zap"
)

// raftLogWriter is an io.Writer that writes the raft library's log lines to zap at debug level. They are not logged at
// a higher level because an unreachable peer makes the library write several lines per second; what an operator needs
// is logged by this package.
type raftLogWriter struct{ log *zap.Logger }

// Write logs one line.
func (z *raftLogWriter) Write(line []byte) (int, error) {
	z.log.Debug(string(bytes.TrimSpace(line)))
	return len(line), nil
}

// logger returns a logger for the raft library. It is off unless zap logs at debug level.
func (z *raftLogWriter) logger() hclog.Logger {
	level := hclog.Off
	if z.log.Core().Enabled(zap.DebugLevel) {
		level = hclog.Info
	}
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: level, Output: z, DisableTime: true})
}

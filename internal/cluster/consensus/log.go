package consensus

import (
	"bytes"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/zap"
)

// zapped hands the library's lines to zap, as debug: what matters of them the council says itself, and a peer that is
// away has the library write several a second.
type zapped struct{ log *zap.Logger }

func (z *zapped) Write(line []byte) (int, error) {
	z.log.Debug(string(bytes.TrimSpace(line)))
	return len(line), nil
}

func (z *zapped) hclog() hclog.Logger {
	level := hclog.Off
	if z.log.Core().Enabled(zap.DebugLevel) {
		level = hclog.Info
	}
	return hclog.New(&hclog.LoggerOptions{Name: "raft", Level: level, Output: z, DisableTime: true})
}

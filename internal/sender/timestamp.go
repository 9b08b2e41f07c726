package sender

// This file measures the time between two processes on one machine, also across a step of the wall clock.

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"flaxcove/choice"
	"flaxcove/internal/config"
)

// bootIDPath is the file that holds a random id of the current boot of the machine.
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// timestamp is a moment that a later process can compare with its own time.
type timestamp struct {
	Boot   string        `json:"boot,omitempty"` // id of the machine's boot; "" if it is unknown
	Uptime time.Duration `json:"uptime_ns"`      // time since that boot, suspension included
	Wall   choice.Time   `json:"wall"`           // by the wall clock
}

// systemTimestamp returns the present moment without its wall-clock time.
func systemTimestamp() (timestamp, error) {
	var uptime unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &uptime); err != nil {
		return timestamp{}, err
	}
	boot, _ := os.ReadFile(bootIDPath) // without it, times of two processes are compared by the wall clock
	return timestamp{Boot: strings.TrimSpace(string(boot)), Uptime: time.Duration(uptime.Nano())}, nil
}

// timestamp returns the present moment.
func (s *Sender) timestamp() (timestamp, error) {
	now, err := s.outages.uptime()
	now.Wall = s.Now()
	return now, err
}

// ageOf returns the time since a moment, at least 0. If the machine was booted since then, it is the time by the wall clock.
func (s *Sender) ageOf(moment timestamp) choice.Time {
	now, err := s.timestamp()
	if err == nil && moment.Boot != "" && moment.Boot == now.Boot {
		return max(0, config.RoundDown(int64(now.Uptime-moment.Uptime)))
	}
	return max(0, s.Now()-moment.Wall)
}

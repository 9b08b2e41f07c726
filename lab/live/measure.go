package live

// This file measures a sender's process by its /proc files, its state folder and its counters.

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// measure adds the process's use of memory, descriptors and disk, and its counters, to the figures. A process that does not
// answer INFO fails the run.
func (p *process) measure() {
	if !p.alive() || p.e.failure != "" {
		return
	}
	figures := &p.e.figures
	figures.PeakMB = max(figures.PeakMB, peakMB(p.cmd.Process.Pid))
	if fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
		figures.Descriptors = max(figures.Descriptors, len(fds))
	}
	files, _ := os.ReadDir(p.state)
	for _, f := range files {
		if info, err := f.Info(); err == nil {
			figures.JournalBytes += info.Size()
		}
	}
	counters, err := info(p.e.senderAddr(p.no))
	if err != nil {
		p.e.failure = fmt.Sprintf("sender %d hangs: it does not answer INFO: %v", p.no, err)
		return
	}
	figures.Counters = append(figures.Counters, counters)
}

// peakMB returns the largest resident memory that a process has had, in MiB, or 0 if that cannot be read.
func peakMB(pid int) (peak float64) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(status), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			peak = max(peak, kb/1024)
		}
	}
	return peak
}

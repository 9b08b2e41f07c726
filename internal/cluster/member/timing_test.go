package member

import (
	"testing"
	"time"
)

// TestPauseAfter checks that the pause grows with the duration of the work, up to maxPause.
func TestPauseAfter(t *testing.T) {
	for took, want := range map[time.Duration]time.Duration{
		0:                      0,
		100 * time.Microsecond: 20 * time.Millisecond,
		6 * time.Millisecond:   1200 * time.Millisecond,
		time.Second:            maxPause,
	} {
		if got := pauseAfter(took, snapshotPauseFactor); got != want {
			t.Errorf("pause after %v: %v, want %v", took, got, want)
		}
	}
}

package config

// This file converts durations between nanoseconds, in which the settings and the clocks are, and choice.Time.

import "flaxcove/choice"

// nanosecondsPerUnit are the nanoseconds in one unit of choice.Time, a tenth of a millisecond.
const nanosecondsPerUnit = 100_000

// maxDuration is what a longer duration of the settings counts as, ten years in nanoseconds. Some write the highest number
// for no end; a sum with it must not overflow, since a timer that lies in the past fires at once.
const maxDuration = 10 * 365 * 24 * 3600 * 1_000_000_000

// RoundDown rounds nanoseconds down to choice.Time, for durations that must not be exceeded.
func RoundDown(ns int64) choice.Time {
	t := ns / nanosecondsPerUnit
	if ns%nanosecondsPerUnit < 0 {
		t--
	}
	return choice.Time(t)
}

// RoundUp rounds nanoseconds up to choice.Time, for durations that must have passed.
func RoundUp(ns int64) choice.Time { return -RoundDown(-ns) }

// Nanoseconds converts choice.Time back.
func Nanoseconds(t choice.Time) int64 { return int64(t) * nanosecondsPerUnit }

// atMost is a duration of the settings that must not be exceeded.
func atMost(ns int64) choice.Time { return RoundDown(min(maxDuration, ns)) }

// atLeast is a duration of the settings that must have passed.
func atLeast(ns int64) choice.Time { return RoundUp(min(maxDuration, ns)) }

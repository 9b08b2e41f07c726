package config

// This file converts durations between choice.Time and nanoseconds, the unit of the settings and of the clocks.

import "flaxcove/choice"

// nanosecondsPerUnit is the number of nanoseconds in one unit of choice.Time, a tenth of a millisecond.
const nanosecondsPerUnit = 100_000

// maxDuration is ten years in nanoseconds. A longer duration in the settings is shortened to it. Some operators write
// the highest number for "no end"; a sum with it would overflow and give a timer in the past, which fires at once.
const maxDuration = 10 * 365 * 24 * 3600 * 1_000_000_000

// RoundDown converts nanoseconds to choice.Time and rounds down. It is for durations that must not be exceeded.
func RoundDown(ns int64) choice.Time {
	t := ns / nanosecondsPerUnit
	if ns%nanosecondsPerUnit < 0 {
		t--
	}
	return choice.Time(t)
}

// RoundUp converts nanoseconds to choice.Time and rounds up. It is for durations that must have passed completely.
func RoundUp(ns int64) choice.Time { return -RoundDown(-ns) }

// Nanoseconds converts choice.Time to nanoseconds.
func Nanoseconds(t choice.Time) int64 { return int64(t) * nanosecondsPerUnit }

// clampDown limits a duration of the settings, in nanoseconds, to maxDuration and rounds it down.
func clampDown(ns int64) choice.Time { return RoundDown(min(maxDuration, ns)) }

// clampUp limits a duration of the settings, in nanoseconds, to maxDuration and rounds it up.
func clampUp(ns int64) choice.Time { return RoundUp(min(maxDuration, ns)) }

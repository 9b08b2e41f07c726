package scale

import (
	"embed"
	"fmt"
	"os"
	"slices"
	"strings"

	"flaxcove/lab/cluster/schedule"
)

//go:embed schedules/*.toml
var schedules embed.FS

// Schedules returns the names of the built-in schedules, sorted.
func Schedules() (names []string) {
	files, _ := schedules.ReadDir("schedules")
	for _, f := range files {
		names = append(names, strings.TrimSuffix(f.Name(), ".toml"))
	}
	slices.Sort(names)
	return names
}

// FindSchedule returns the built-in schedule of that name, or reads a schedule file if the name ends in .toml.
func FindSchedule(name string) (*schedule.Schedule, error) {
	if strings.HasSuffix(name, ".toml") {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		return schedule.Parse(name, text)
	}
	text, err := schedules.ReadFile("schedules/" + name + ".toml")
	if err != nil {
		return nil, fmt.Errorf("unknown schedule %q: built-in schedules are %s", name, strings.Join(Schedules(), ", "))
	}
	return schedule.Parse(name+".toml", text)
}

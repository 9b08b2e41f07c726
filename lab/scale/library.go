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

// Schedules returns the names of the built-in schedules.
func Schedules() (names []string) {
	files, _ := schedules.ReadDir("schedules")
	for _, f := range files {
		names = append(names, strings.TrimSuffix(f.Name(), ".toml"))
	}
	slices.Sort(names)
	return names
}

// FindSchedule reads a schedule from a file that ends in .toml, or returns a built-in one.
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
		return nil, fmt.Errorf("no schedule is called %q; there are %s", name, strings.Join(Schedules(), ", "))
	}
	return schedule.Parse(name+".toml", text)
}

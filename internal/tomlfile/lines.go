package tomlfile

// This file finds on which line each field of a file stands.

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Lines maps each field to the line on which it stands. Tables of a list are numbered, as in route[2].set.under.
func Lines(text []byte) map[string]int {
	f := lineFinder{lines: map[string]int{}, counts: map[string]int{}}
	f.parser.Reset(text)
	for f.parser.NextExpression() {
		f.add(f.parser.Expression())
	}
	return f.lines
}

// lineFinder goes through the expressions of a file.
type lineFinder struct {
	parser unstable.Parser
	lines  map[string]int
	prefix string         // of the fields of the current table, with a dot at its end
	counts map[string]int // tables so far, by the path of their list
}

func (f *lineFinder) add(e *unstable.Node) {
	key, line := f.key(e)
	switch e.Kind {
	case unstable.Table:
		f.beginTable(numberedKey(key, f.counts), line)
	case unstable.ArrayTable:
		if i := strings.LastIndex(key, "."); i >= 0 {
			key = numberedKey(key[:i], f.counts) + key[i:]
		}
		number := f.counts[key]
		f.counts[key]++
		f.beginTable(fmt.Sprintf("%s[%d]", key, number), line)
	case unstable.KeyValue:
		f.lines[f.prefix+key] = line
		f.addInlineTable(f.prefix+key, e.Value(), line)
	}
}

// key is an expression's key in dots, and its line.
func (f *lineFinder) key(e *unstable.Node) (key string, line int) {
	for parts := e.Key(); parts.Next(); {
		part := parts.Node()
		if key != "" {
			key += "."
		}
		key += string(part.Data)
		if line == 0 && len(part.Data) > 0 {
			line = f.parser.Shape(f.parser.Range(part.Data)).Start.Line
		}
	}
	return key, line
}

func (f *lineFinder) beginTable(path string, line int) {
	f.lines[path] = line
	f.prefix = path + "."
}

// addInlineTable adds the fields of an inline table, which stand on the line of its field.
func (f *lineFinder) addInlineTable(path string, value *unstable.Node, line int) {
	if value.Kind != unstable.InlineTable {
		return
	}
	for fields := value.Children(); fields.Next(); {
		for parts := fields.Node().Key(); parts.Next(); {
			f.lines[path+"."+string(parts.Node().Data)] = line
		}
	}
}

// numberedKey puts the number of the newest table of a list after the first part of a key.
func numberedKey(key string, counts map[string]int) string {
	first, rest, more := strings.Cut(key, ".")
	if n := counts[first]; n > 0 {
		first = fmt.Sprintf("%s[%d]", first, n-1)
	}
	if more {
		return first + "." + rest
	}
	return first
}

// LineOf is the line of a field, or of the nearest table that contains it; 0 if there is none.
func LineOf(lines map[string]int, path string) int {
	for path != "" {
		if line, known := lines[path]; known {
			return line
		}
		i := strings.LastIndexByte(path, '.')
		if i < 0 {
			break
		}
		path = path[:i]
	}
	return 0
}

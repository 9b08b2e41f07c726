package tomlfile

// This file finds the line of each field of a file.

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Lines returns the line number of each field and table of a TOML file, by its path. Paths number the tables of an array
// of tables from 0, as in route[2].set[0].under. In invalid TOML, Lines stops at the first syntax error.
func Lines(text []byte) map[string]int {
	f := lineFinder{lines: map[string]int{}, counts: map[string]int{}}
	f.parser.Reset(text)
	for f.parser.NextExpression() {
		f.add(f.parser.Expression())
	}
	return f.lines
}

// lineFinder collects the lines of the expressions of a file.
type lineFinder struct {
	parser unstable.Parser
	lines  map[string]int // the result, by path
	prefix string         // path of the current table, with a dot at its end; empty at the top level
	counts map[string]int // number of tables so far, by the path of their array
}

// add adds the lines of one expression.
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

// key returns the key of an expression, with dots between its parts, and the line of its first part that is not empty.
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

// beginTable adds the line of a table and makes it the current table.
func (f *lineFinder) beginTable(path string, line int) {
	f.lines[path] = line
	f.prefix = path + "."
}

// addInlineTable adds the fields of an inline table, all with the line of the field that the table is the value of. It
// does nothing for another kind of value.
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

// numberedKey returns a key with the number of the last table after its first part, as in route[2].set for route.set. It
// returns the key unchanged if the first part is not an array of tables.
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

// LineOf returns the line of a field, or of the innermost table with a known line that contains it. It returns 0 if
// there is none. lines is a result of Lines.
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

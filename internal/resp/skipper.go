package resp

import "bytes"

// Skipper finds the end of a command whose arguments are not needed. It holds no more than one incomplete length line of the
// input, however long the command is, and accepts exactly the commands that Command accepts. The zero value is at the start
// of a command.
type Skipper struct {
	started  bool   // the number of arguments is known
	args     int    // arguments whose length is not known yet
	body     int    // bytes of the current argument that are not skipped yet
	ending   string // the rest of the line end after the current argument
	lengthAt []byte // the beginning of an incomplete length line
}

// Skip skips the input of one command. It returns how many bytes of input belong to the command, and whether the command is
// complete; if not, the rest of the command has to be passed to the next call. The errors are those of Command.
func (k *Skipper) Skip(input []byte) (took int, complete bool, err error) {
	for {
		took += k.skipBody(input[took:])
		if k.started && k.args == 0 && k.body == 0 && k.ending == "" {
			return took, true, nil
		}
		if took == len(input) {
			return took, false, nil
		}
		more, err := k.skipFraming(input[took:])
		if err != nil {
			return took, false, err
		}
		took += more
	}
}

// skipBody skips bytes of the current argument and returns their number.
func (k *Skipper) skipBody(input []byte) int {
	count := min(k.body, len(input))
	k.body -= count
	return count
}

// skipFraming skips a byte of a line end, or as much of a length line as the input holds. The input is not empty and no bytes
// of an argument come first.
func (k *Skipper) skipFraming(input []byte) (took int, err error) {
	if k.ending != "" {
		if input[0] != k.ending[0] {
			return 0, ErrEnd
		}
		k.ending = k.ending[1:]
		return 1, nil
	}
	return k.skipLength(input)
}

// skipLength skips as much of a length line as the input holds.
func (k *Skipper) skipLength(input []byte) (took int, err error) {
	room := maxLengthLine + 1 - len(k.lengthAt) // one byte for the type
	took = min(len(input), room)
	if end := bytes.IndexByte(input[:took], '\n'); end >= 0 {
		took = end + 1
	}
	k.lengthAt = append(k.lengthAt, input[:took]...)
	elementType, maximum, wrongType := byte(typeArray), MaxArgs, ErrNoArray
	if k.started {
		elementType, maximum, wrongType = typeBulk, MaxBulk, ErrNoBulk
	}
	number, next, err := parseLength(k.lengthAt, 0, elementType, maximum, wrongType)
	if err != nil || next == 0 {
		return took, err
	}
	k.lengthAt = k.lengthAt[:0]
	if !k.started {
		k.started, k.args = true, number
		return took, nil
	}
	k.args--
	k.body, k.ending = number, lineEnd
	return took, nil
}

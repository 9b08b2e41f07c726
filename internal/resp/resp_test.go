package resp

import (
	"bytes"
	"fmt"
	"testing"
)

func ExampleCommand() {
	for _, text := range []string{
		"*1\r\n$4\r\nPING\r\n",
		"*2\r\n$1\r\na\r\n$2\r\n\r\n\r\nrest",
		"*0\r\n",
		"*2\r\n$1\r\na\r\n$5\r\nab",
		"PING\r\n",
		"*1\r\n:4\r\n",
		"*65\r\n",
		"*99999999999999999999999\r\n",
		"*-1\r\n",
		"*1\r\n$65537\r\n",
		"*1\r\n$1\r\nabc",
		"*1\n$4\r\nPING\r\n",
		"*11111111111111111111111111111111111111",
	} {
		args, took, err := Command([]byte(text), nil)
		fmt.Printf("%q %d %v\n", args, took, err)
	}
	// Output:
	// ["PING"] 14 <nil>
	// ["a" "\r\n"] 19 <nil>
	// [] 4 <nil>
	// [] 0 <nil>
	// [] 0 a command is an array of bulk strings
	// [] 0 an argument is a bulk string
	// [] 0 a length is not a number, or out of bounds
	// [] 0 a length is not a number, or out of bounds
	// [] 0 a length is not a number, or out of bounds
	// [] 0 a length is not a number, or out of bounds
	// [] 0 a bulk string does not end where its length says
	// [] 0 a length is not a number, or out of bounds
	// [] 0 a length is not a number, or out of bounds
}

func ExampleAppendError() {
	fmt.Printf("%q\n", AppendError(nil, "ERR two\r\nlines"))
	fmt.Printf("%q\n", AppendCommand(nil, []byte("PING"), []byte("\r\n")))
	// Output:
	// "-ERR two  lines\r\n"
	// "*2\r\n$4\r\nPING\r\n$2\r\n\r\n\r\n"
}

// FuzzCommand checks that an incomplete command is never returned, that the beginning of a text is rejected only if the
// whole text is, and that AppendCommand and Command agree.
func FuzzCommand(f *testing.F) {
	f.Add([]byte("*2\r\n$1\r\na\r\n$2\r\n\r\n\r\nrest"), 7)
	f.Add([]byte("*1\r\n$x\r\n"), 3)
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		args, took, err := Command(text, nil)
		if took > len(text) || err != nil && took != 0 {
			t.Fatalf("took %d of %d, %v", took, len(text), err)
		}
		if took > 0 {
			again, n, err := Command(AppendCommand(nil, args...), nil)
			if err != nil || n == 0 || len(again) != len(args) {
				t.Fatalf("written again: %q, %v", again, err)
			}
			for i := range args {
				if !bytes.Equal(args[i], again[i]) {
					t.Fatalf("argument %d: %q, then %q", i, args[i], again[i])
				}
			}
		}
		if cut >= 0 && cut < len(text) && (took == 0 || cut < took) {
			if _, early, earlyErr := Command(text[:cut], nil); early != 0 || earlyErr != nil && err == nil {
				t.Fatalf("cut at %d: took %d, %v", cut, early, earlyErr)
			}
		}
	})
}

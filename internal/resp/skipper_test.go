package resp

import "testing"

// FuzzSkipper checks that a Skipper finds the same end, or the same error, as Command, however the input is divided.
func FuzzSkipper(f *testing.F) {
	f.Add([]byte("*2\r\n$4\r\nPING\r\n$0\r\n\r\n*1\r\n"), uint8(3))
	f.Add([]byte("*0\r\n"), uint8(1))
	f.Add([]byte("*1\r\n$1\r\nxx\r\n"), uint8(9))
	f.Add([]byte("*1\r\n$99999999999999999999999999999999999\r\n"), uint8(50))
	f.Fuzz(func(t *testing.T, input []byte, piece uint8) {
		_, want, wantErr := Command(input, nil)
		var skipper Skipper
		for at := 0; at < len(input); {
			took, complete, err := skipper.Skip(input[at:min(len(input), at+1+int(piece))])
			at += took
			if err != nil || complete {
				if err != wantErr || complete != (want > 0) || complete && at != want {
					t.Fatalf("%q: skipped %d, complete %v, %v; the command takes %d, %v", input, at, complete, err, want, wantErr)
				}
				return
			}
		}
		if want > 0 {
			t.Fatalf("%q: the end at %d was not found", input, want)
		}
	})
}

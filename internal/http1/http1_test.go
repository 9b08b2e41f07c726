package http1

import (
	"fmt"
	"strings"
	"testing"
)

// feed parses text in pieces of the given size, followed by the end of the connection.
func feed(text string, size int) (a Answer, err error) {
	for i := 0; i < len(text) && err == nil; i += size {
		err = a.Feed([]byte(text[i:min(i+size, len(text))]))
	}
	if err == nil {
		err = a.End()
	}
	return a, err
}

func ExampleAnswer() {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Load: x0=1\r\n\r\nok",
		"HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: 1\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 429 Wait\r\nretry-after: 0.25\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nto the end",
		"HTTP/1.0 503 Full\nContent-Length: 0\n\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut",
		"HTTP/1.1 200",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
		"HTTP/1.1 20 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
		"SSH-2.0-x\r\n",
	} {
		a, err := feed(text, 1)
		fmt.Printf("%d done=%v close=%v %q %v\n", a.Status(), a.Done, a.Close, a.Body, err)
	}
	// Output:
	// 200 done=true close=false "ok" <nil>
	// 204 done=true close=false "" <nil>
	// 200 done=true close=false "abcde" <nil>
	// 429 done=true close=false "" <nil>
	// 200 done=true close=true "to the end" <nil>
	// 503 done=true close=true "" <nil>
	// 200 done=false close=false "" <nil>
	// 0 done=false close=false "" <nil>
	// 200 done=false close=false "" malformed answer head
	// 200 done=false close=false "" malformed answer head
	// 200 done=false close=false "" malformed answer head
	// 200 done=false close=false "" malformed answer body
	// 200 done=false close=false "" malformed answer body
	// 200 done=false close=false "" answer too large
	// 0 done=false close=false "" malformed answer head
	// 200 done=false close=false "" malformed answer head
	// 0 done=false close=false "" malformed answer head
}

// TestGreatestHead checks that a head of MaxHead bytes is accepted and one of a byte more is rejected, in pieces of any
// size. The same must hold for a head that consists mostly of the status line, and after an interim answer.
func TestGreatestHead(t *testing.T) {
	for _, interim := range []string{"", "HTTP/1.1 100 On\r\n\r\n"} {
		for _, of := range []struct{ start, end string }{
			{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: ", "\r\n\r\n"}, {"HTTP/1.1 200 ", "\r\nContent-Length: 2\r\n\r\n"},
		} {
			for _, above := range []int{0, 1} {
				head := of.start + strings.Repeat("x", MaxHead+above-len(of.start)-len(of.end)) + of.end
				for _, size := range []int{1, 1000, MaxHead - 1, MaxHead, MaxHead + 1, 1 << 20} {
					a, err := feed(interim+head+"ok", size)
					if read := a.Done && string(a.Body) == "ok" && err == nil; read != (above == 0) || above > 0 && err != ErrSize {
						t.Errorf("%.15q, %d above, pieces of %d: %v, done %v", of.start, above, size, err, a.Done)
					}
				}
			}
		}
	}
}

// TestGreatestBody checks that a body of MaxBody bytes is accepted and one of a byte more is rejected, with a length and
// in chunks.
func TestGreatestBody(t *testing.T) {
	for _, above := range []int{0, 1} {
		body := strings.Repeat("x", MaxBody+above)
		for _, text := range []string{
			fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
			fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		} {
			for _, size := range []int{4096, 1 << 20} {
				if a, err := feed(text, size); a.Done != (above == 0) || above > 0 && err != ErrSize {
					t.Errorf("%.50q, %d above, pieces of %d: %v, done %v", text, above, size, err, a.Done)
				}
			}
		}
	}
}

func ExampleHead_Get() {
	a, _ := feed("HTTP/1.1 429 Wait\r\nRetry-After:  1.5 \r\nx-load: x0=0.4,x1=25\r\nContent-Length: 0\r\n\r\nbehind", 3)
	fmt.Printf("%s %s %v %d\n", a.Get("retry-after"), a.Get("X-Load"), a.Get("X-No-Slot") == nil, a.BytesAfter())
	// Output: 1.5 x0=0.4,x1=25 true 6
}

func ExampleAppendRequest() {
	fmt.Printf("%q\n", AppendRequest(nil, "POST", "/inbox", "h:1", 3, "X-Request-Id", "a"))
	fmt.Printf("%q\n", AppendRequest(nil, "GET", "/", "h:1", -1))
	// Output:
	// "POST /inbox HTTP/1.1\r\nHost: h:1\r\nX-Request-Id: a\r\nContent-Length: 3\r\n\r\n"
	// "GET / HTTP/1.1\r\nHost: h:1\r\n\r\n"
}

// FuzzAnswer checks that the result does not depend on the size of the pieces, that no input causes a panic, and that
// the body stays within the limits.
func FuzzAnswer(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 2)
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 5)
	f.Fuzz(func(t *testing.T, text string, size int) {
		if size < 1 || len(text) > 1<<16 {
			return
		}
		a, errA := feed(text, size)
		b, errB := feed(text, max(1, len(text)))
		if (errA == nil) != (errB == nil) && !(a.Done || b.Done) {
			t.Fatalf("pieces of %d: %v, whole: %v", size, errA, errB)
		}
		if errA == nil && errB == nil && (a.Done != b.Done || a.Status() != b.Status() || string(a.Body) != string(b.Body)) {
			t.Fatalf("pieces of %d: %v %d %q, whole: %v %d %q", size, a.Done, a.Status(), a.Body, b.Done, b.Status(), b.Body)
		}
		if len(a.Body) > MaxBody+MaxHead {
			t.Fatalf("%d bytes held", len(a.Body))
		}
	})
}

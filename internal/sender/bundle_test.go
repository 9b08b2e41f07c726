package sender

import (
	"fmt"
	"os"
	"time"

	"flaxcove/internal/http1"
)

// Messages of one turn to one endpoint share a bulk call, up to the largest one of its kind. Each message ends by its own
// state in the answer; a message without a state may have run.
func Example_bulkCall() {
	h := start("", 100).submit("OUT.ADD 0a o1 c=order,d=20000,dest=2 x", "OUT.ADD 0b o2 c=order,d=20000,dest=2 x",
		"OUT.ADD 0c o3 c=order,d=20000,dest=2 x")
	_, body, _ := h.s.request(h.calls[0])
	fmt.Println(string(body))
	h.endpointAnswers("HTTP/1.1 200 OK\nContent-Length: 58\n\n" + `[{"id":"o1","state":"ok"},  {"id":"o2","state":"later"}]   `)
	h.advance(5 * time.Millisecond).printPending()
	os.RemoveAll(h.dir)
	// Output:
	// call b: POST /inbox/bulk
	//    o3
	//    o2
	//    o1
	// client: +OK
	// client: +OK
	// client: +OK
	// [{"id":"o3","key":"0c","body":"eA=="},{"id":"o2","key":"0b","body":"eA=="},{"id":"o1","key":"0a","body":"eA=="}]
	// platform: {"message":"o3","outcome":"given_up"}
	// owed: 1 to the platform: 0
}

// A message of a bulk call that reaches its deadline ends alone: it is shed and not sent if the call is not written yet,
// else it may have run. The call continues for the other message, and no message ends twice.
func Example_bulkCallOutlivesOne() {
	for _, written := range []bool{false, true} {
		h := start("", 100).submit("OUT.ADD 0 order c=order,d=20000,dest=2 x", "OUT.ADD 0 late c=status,d=500,dest=2 x")
		c := h.calls[0]
		text := answerOK
		if written {
			c.link = &link{sender: h.s, endpoint: c.endpoint}
			text = "HTTP/1.1 200 OK\nContent-Length: 61\n\n" + `[{"id":"order","state":"ok"},{"id":"late","state":"ok"}]     `
		}
		h.advance(600 * time.Millisecond).endpointAnswers(text).advance(5 * time.Millisecond).printPending()
		fmt.Println("delivered:", h.s.counts.delivered)
		os.RemoveAll(h.dir)
	}
	// Output:
	// call b: POST /inbox/bulk
	//    order
	//    late
	// client: +OK
	// client: +OK
	// platform: {"message":"late","outcome":"handed_back","retry_in_ms":200}
	// call b: POST /inbox
	//    order
	// owed: 0 to the platform: 0
	// delivered: 1
	// call b: POST /inbox/bulk
	//    order
	//    late
	// client: +OK
	// client: +OK
	// platform: {"message":"late","outcome":"given_up"}
	// call b: POST /inbox/bulk
	//    order
	//    late
	// owed: 0 to the platform: 0
	// delivered: 1
}

// A Retry-After in the answer to a bulk call counts whatever the states of its messages are.
func Example_bulkCallRetryAfter() {
	h := start("", 100).submit("OUT.ADD 0 s1 c=status,d=6000,dest=2 x", "OUT.ADD 0 s2 c=status,d=6000,dest=2 x")
	h.endpointAnswers("HTTP/1.1 200 OK\nRetry-After: 0.7\nContent-Length: 54\n\n" + `[{"id":"s1","state":"ok"},{"id":"s2","state":"error"}]`)
	h.advance(690 * time.Millisecond)
	fmt.Println("the Retry-After is nearly over")
	h.advance(300 * time.Millisecond)
	os.RemoveAll(h.dir)
	// Output:
	// call b: POST /inbox/bulk
	//    s2
	//    s1
	// client: +OK
	// client: +OK
	// the Retry-After is nearly over
	// call b: GET /-/healthy
}

// A bulk call whose answer cannot be parsed may have run, and its link is not reused.
func Example_unreadableBulkAnswer() {
	for _, body := range []string{`[{"id":"o1","state":"ok"},{"id":"o2","sta`, "nothing", `[{"id":"o1","state":"ok"}]`} {
		h := start("", 100).submit("OUT.ADD 0 o1 c=order,d=20000,dest=2 x", "OUT.ADD 0 o2 c=order,d=20000,dest=2 x")
		var a http1.Answer
		a.Feed(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		answer := readAnswer(&a)
		fmt.Println("lacks states:", answer.lacksStates(h.calls[0]))
		h.calls[0].done = true
		h.s.finishCall(h.calls[0], answer)
		h.advance(5 * time.Millisecond)
		os.RemoveAll(h.dir)
	}
	// Output:
	// call b: POST /inbox/bulk
	//    o2
	//    o1
	// client: +OK
	// client: +OK
	// lacks states: true
	// platform: {"message":"o2","outcome":"given_up"}
	// {"message":"o1","outcome":"given_up"}
	// call b: POST /inbox/bulk
	//    o2
	//    o1
	// client: +OK
	// client: +OK
	// lacks states: true
	// platform: {"message":"o2","outcome":"given_up"}
	// {"message":"o1","outcome":"given_up"}
	// call b: POST /inbox/bulk
	//    o2
	//    o1
	// client: +OK
	// client: +OK
	// lacks states: false
	// platform: {"message":"o2","outcome":"given_up"}
}

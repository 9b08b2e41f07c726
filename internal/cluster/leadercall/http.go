package leadercall

// This file is the HTTP side: the limit of concurrent orders, and how one is decoded and answered.

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

// maxWait bounds the query parameter for=.
const maxWait = 60 * time.Second

// RetrySoon is the Retry-After, in seconds, of an order that may succeed at once.
const RetrySoon = "1"

// ErrorResponse is the body of an answer to an order that is rejected or failed.
type ErrorResponse struct {
	Error   string  `json:"error"`
	Field   string  `json:"field,omitempty"`
	Current *uint64 `json:"current,omitempty"` // the newest version, where the order was based on an older one
}

// Limiter bounds concurrent requests to its capacity. More are answered with 503 and Retry-After.
type Limiter chan struct{}

// Limit wraps a handler in the limiter.
func (l Limiter) Limit(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		select {
		case l <- struct{}{}:
			defer func() { <-l }()
			handler(w, request)
		default:
			WriteRetryLater(w, RetrySoon, ErrorResponse{Error: "too many orders at once; come back"})
		}
	}
}

// WriteJSON answers with a body in JSON.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may be gone
}

// WriteRetryLater answers with 503 and how many seconds to wait before a retry.
func WriteRetryLater(w http.ResponseWriter, seconds string, response ErrorResponse) {
	w.Header().Set("Retry-After", seconds)
	WriteJSON(w, http.StatusServiceUnavailable, response)
}

// ReadOrder decodes an order of at most maxBytes and returns whether that succeeded. Otherwise it has answered with 400
// and what is wrong, which may be an unknown field.
func ReadOrder(w http.ResponseWriter, request *http.Request, maxBytes int64, order any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, request.Body, maxBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(order)
	if err == nil {
		return true
	}
	response := ErrorResponse{Error: "order: " + err.Error()}
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		response.Field = typeError.Field
	}
	WriteJSON(w, http.StatusBadRequest, response)
	return false
}

// ParseWait reads how long the caller waits from the query parameters wait=, whose only value is word, and for=, which
// may be omitted for defaultWait. It returns 0 without wait=. Where ok is false it has answered with 400.
func ParseWait(w http.ResponseWriter, request *http.Request, word string, defaultWait time.Duration) (wait time.Duration, ok bool) {
	values := request.URL.Query()
	switch values.Get("wait") {
	case "":
		return 0, true
	case word:
	default:
		WriteJSON(w, http.StatusBadRequest, ErrorResponse{Error: `wait must be "` + word + `"`, Field: "wait"})
		return 0, false
	}
	if values.Get("for") == "" {
		return defaultWait, true
	}
	wait, err := time.ParseDuration(values.Get("for"))
	if err != nil || wait <= 0 || wait > maxWait {
		WriteJSON(w, http.StatusBadRequest, ErrorResponse{Error: "for must be a span up to " + maxWait.String() + ", as 5s", Field: "for"})
		return 0, false
	}
	return wait, true
}

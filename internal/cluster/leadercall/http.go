package leadercall

// This file has what the HTTP handlers of the parts share: a limit of concurrent requests, and functions that decode
// orders and write answers.

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"
)

// maxWait is the maximum of the query parameter for=.
const maxWait = 60 * time.Second

// RetrySoon is the Retry-After header, in seconds, of an answer to an order that may succeed at the next attempt.
const RetrySoon = "1"

// ErrorResponse is the body of the answer to a request that was rejected or has failed. Field is the wrong field of the
// request, if a single field is wrong.
type ErrorResponse struct {
	Error   string  `json:"error"`
	Field   string  `json:"field,omitempty"`
	Current *uint64 `json:"current,omitempty"` // the newest version, if the order was based on an older one
}

// Limiter limits the number of concurrent requests to the capacity of the channel. Further requests are answered with
// 503 and a Retry-After header.
type Limiter chan struct{}

// Limit returns a handler that calls the given one within the limit.
func (l Limiter) Limit(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		select {
		case l <- struct{}{}:
			defer func() { <-l }()
			handler(w, request)
		default:
			WriteRetryLater(w, RetrySoon, ErrorResponse{Error: "too many concurrent requests; retry later"})
		}
	}
}

// WriteJSON writes an answer with this status and body as JSON.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller has closed the connection
}

// WriteRetryLater writes an answer with status 503 and a Retry-After header of this many seconds.
func WriteRetryLater(w http.ResponseWriter, seconds string, response ErrorResponse) {
	w.Header().Set("Retry-After", seconds)
	WriteJSON(w, http.StatusServiceUnavailable, response)
}

// ReadOrder decodes a request body of at most maxBytes into order and reports whether that succeeded. If not, it has
// answered with status 400 and an ErrorResponse. An unknown field is an error.
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

// ParseWait returns how long the caller is ready to wait. The query parameter wait= must have the value word; without
// it ParseWait returns 0. The parameter for= is the duration, defaultWait if it is omitted. If ok is false, ParseWait
// has answered with status 400 and an ErrorResponse.
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
		WriteJSON(w, http.StatusBadRequest, ErrorResponse{Error: "for must be a positive duration of at most " + maxWait.String() + ", for example 5s", Field: "for"})
		return 0, false
	}
	return wait, true
}

package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
)

// httpStatuses maps error kinds to HTTP statuses.
var httpStatuses = map[ErrorKind]int{
	ErrorBadRequest:  http.StatusBadRequest,
	ErrorForbidden:   http.StatusForbidden,
	ErrorNotFound:    http.StatusNotFound,
	ErrorTooLarge:    http.StatusRequestEntityTooLarge,
	ErrorOverloaded:  http.StatusTooManyRequests,
	ErrorUnavailable: http.StatusServiceUnavailable,
	ErrorLeaving:     http.StatusServiceUnavailable,
	ErrorUpstream:    http.StatusBadGateway,
	ErrorTimeout:     http.StatusGatewayTimeout,
	ErrorCancelled:   http.StatusConflict,
	ErrorConflict:    http.StatusConflict,
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s", e.Kind, e.Message)
}

// WriteError writes the error as a JSON response with the HTTP status of its kind.
func WriteError(w http.ResponseWriter, e Error) {
	if e.RetryAfterMS > 0 {
		seconds := (e.RetryAfterMS + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	status, ok := httpStatuses[e.Kind]
	if !ok {
		status = http.StatusInternalServerError
	}
	WriteJSON(w, status, ErrorBody{Error: e})
}

// WriteJSON writes a JSON response. Write errors are ignored, because they mean
// that the caller has disconnected.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ReadJSON decodes a JSON request body of at most limit bytes. It refuses other
// content types, unknown fields and trailing data.
func ReadJSON(r *http.Request, limit int64, into any) *Error {
	mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || mediaType != "application/json" {
		return &Error{Kind: ErrorBadRequest, Message: "content type must be application/json"}
	}
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return decodeError(err, limit)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &Error{Kind: ErrorBadRequest, Message: "body contains more than one JSON value"}
	}
	return nil
}

func decodeError(err error, limit int64) *Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &Error{Kind: ErrorTooLarge, Message: fmt.Sprintf("body exceeds %d bytes", limit)}
	}
	return &Error{Kind: ErrorBadRequest, Message: "malformed JSON: " + err.Error()}
}

// Package jsonhttp sends and serves JSON requests over HTTP, between drivers and for operators. Errors
// are sent as one line of text.
package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	maxBodyBytes      = 64 << 20 // of a request or a response
	maxErrorBytes     = 4 << 10  // of an error's text
	readHeaderTimeout = 2 * time.Second
)

// Serve serves HTTP requests until ctx ends.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, BaseContext: func(net.Listener) context.Context { return ctx }}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Handler decodes a request, calls handle and encodes its result. A malformed request gets status 400.
// An error of handle gets the status of its StatusCoder, or 409.
func Handler[T, R any](handle func(ctx context.Context, request T) (R, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, httpRequest *http.Request) {
		var request T
		if err := json.NewDecoder(http.MaxBytesReader(w, httpRequest.Body, maxBodyBytes)).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		result, err := handle(httpRequest.Context(), request)
		if err != nil {
			status := http.StatusConflict
			if coder := StatusCoder(nil); errors.As(err, &coder) {
				status = coder.Status()
			}
			http.Error(w, err.Error(), status)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		WriteJSON(w, result)
	}
}

// ActionHandler is a Handler without a result.
func ActionHandler[T any](handle func(ctx context.Context, request T) error) http.HandlerFunc {
	return Handler(func(ctx context.Context, request T) (any, error) { return nil, handle(ctx, request) })
}

// QueryHandler is a Handler without request parameters.
func QueryHandler[R any](handle func(ctx context.Context) (R, error)) http.HandlerFunc {
	return Handler(func(ctx context.Context, _ struct{}) (R, error) { return handle(ctx) })
}

// StatusError is an error response.
type StatusError struct {
	Status  int // HTTP status code
	Message string
}

// Error returns the message sent with the response.
func (e *StatusError) Error() string { return e.Message }

// ShouldTryAnother reports whether another driver may succeed where this one failed, because this one
// could not be reached or is not responsible.
func ShouldTryAnother(err error) bool {
	var statusErr *StatusError
	return err != nil && (!errors.As(err, &statusErr) || statusErr.Status == http.StatusServiceUnavailable)
}

// StatusCoder is an error with the HTTP status that Handler responds with.
type StatusCoder interface{ Status() int }

// Post sends body and decodes the response into result, unless that is nil. A response other than 200 is
// returned as a *StatusError.
func Post(ctx context.Context, client *http.Client, url string, body, result any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		message, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		return &StatusError{Status: response.StatusCode, Message: strings.TrimSpace(string(message))}
	}
	if result == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes)).Decode(result)
}

// WriteJSON writes value as JSON. Write errors are ignored: the peer has gone.
func WriteJSON(w http.ResponseWriter, value any) { json.NewEncoder(w).Encode(value) }

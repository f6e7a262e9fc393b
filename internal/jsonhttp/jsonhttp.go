// Package jsonhttp asks and answers in JSON over HTTP, between instances and with operators. A refusal is one line.
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
	mostBytes  = 64 << 20 // of a request or an answer
	mostLine   = 4 << 10  // of a refusal
	headWithin = 2 * time.Second
)

// Serve answers requests until the context ends.
func Serve(ctx context.Context, l net.Listener, handler http.Handler) error {
	s := &http.Server{Handler: handler, ReadHeaderTimeout: headWithin, BaseContext: func(net.Listener) context.Context { return ctx }}
	defer context.AfterFunc(ctx, func() { s.Close() })()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Handler reads what was asked and answers it. What can't be read is a 400, and what can't be done a 409, if the error says
// no other status.
func Handler[T, R any](do func(ctx context.Context, asked T) (R, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var asked T
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, mostBytes)).Decode(&asked); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		result, err := do(r.Context(), asked)
		if err != nil {
			status := http.StatusConflict
			if told := StatusCoder(nil); errors.As(err, &told) {
				status = told.Status()
			}
			http.Error(w, err.Error(), status)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		WriteJSON(w, result)
	}
}

// ActionHandler is Answers where there is nothing to tell but that it was done.
func ActionHandler[T any](do func(ctx context.Context, asked T) error) http.HandlerFunc {
	return Handler(func(ctx context.Context, asked T) (any, error) { return nil, do(ctx, asked) })
}

// QueryHandler is Answers where nothing more is asked.
func QueryHandler[R any](do func(ctx context.Context) (R, error)) http.HandlerFunc {
	return Handler(func(ctx context.Context, _ struct{}) (R, error) { return do(ctx) })
}

// StatusError is an answer that is none.
type StatusError struct {
	Status  int // of HTTP
	Message string
}

func (r *StatusError) Error() string { return r.Message }

// ShouldTryAnother tells whether an error leaves open that another instance does what this one did not: it could not be reached,
// or it is not the one to ask.
func ShouldTryAnother(err error) bool {
	var r *StatusError
	return err != nil && (!errors.As(err, &r) || r.Status == http.StatusServiceUnavailable)
}

// StatusCoder is an error that says with which status of HTTP Answer tells it.
type StatusCoder interface{ Status() int }

// Post sends what is asked and reads the answer, into nil for none. A refusal is an error of its one line.
func Post(ctx context.Context, client *http.Client, url string, asked, into any) error {
	text, err := json.Marshal(asked)
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
		line, _ := io.ReadAll(io.LimitReader(response.Body, mostLine))
		return &StatusError{Status: response.StatusCode, Message: strings.TrimSpace(string(line))}
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(response.Body, mostBytes)).Decode(into)
}

// WriteJSON writes an answer. A far side that has gone does not matter.
func WriteJSON(w http.ResponseWriter, answer any) { json.NewEncoder(w).Encode(answer) }

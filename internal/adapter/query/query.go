// Package query receives the dry-run queries of internal/dryrun over HTTP and sends their
// answers.
package query

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/dryrun"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/ingress"
)

// Read reads the body of a query within timeout, under the bounds of the gate. cost returns
// the memory that processing it takes. The caller must call done once it has decided on the
// query, also after an error. Read fails with fault.Invalid if the body exceeds limit bytes,
// and otherwise with the errors of the gate.
func Read(gate *ingress.Gate, w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration, cost func(*ingress.Body) int64) (text []byte, done func(), err error) {
	body, err := gate.Receive(w, r, limit, time.Now().Add(timeout))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		err = fault.New(fault.Invalid, fmt.Sprintf("the query exceeds %d bytes", tooLarge.Limit))
	}
	if err != nil {
		return nil, func() {}, err
	}
	text, err = body.Text(r.Context(), cost(body))
	return text, body.Close, err
}

// Respond sends an answer or, if failure is set, a *dryrun.Failure. It returns why the
// response couldn't be encoded or written.
func Respond(w http.ResponseWriter, answer any, failure error) error {
	status := http.StatusOK
	if failure != nil {
		status, answer = statusOf(failure), dryrun.NewFailure(failure)
	}
	text, encodeErr := json.Marshal(answer)
	if encodeErr != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, writeErr := w.Write(text)
	return errors.Join(encodeErr, writeErr)
}

func statusOf(err error) int {
	switch fault.CodeOf(err) {
	case fault.Invalid, fault.Unauthenticated, fault.NotFound:
		return http.StatusBadRequest
	case fault.Overloaded:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

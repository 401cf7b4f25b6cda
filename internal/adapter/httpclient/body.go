package httpclient

import (
	"io"
	"net/http"
	"strconv"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// OversizedError means that an answer's body was longer than permitted.
type OversizedError struct {
	// MaxBytes is the bound.
	MaxBytes int64
}

// Error names the bound.
func (e *OversizedError) Error() string {
	return "uncertain: answer is longer than " + strconv.FormatInt(e.MaxBytes, 10) + " bytes"
}

// FaultCode returns fault.Uncertain: the answer came after the work.
func (e *OversizedError) FaultCode() fault.Code {
	return fault.Uncertain
}

// boundedTransport bounds the bodies of answers, those of failures included,
// and passes on only failures that the server itself reports.
type boundedTransport struct {
	next     http.RoundTripper
	maxBytes int64
}

// RoundTrip implements http.RoundTripper.
func (t *boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if t.maxBytes > 0 {
		resp.Body = &boundedBody{ReadCloser: resp.Body, left: t.maxBytes, max: t.maxBytes}
	}
	if err := rejectForeign(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// boundedBody fails once more than max bytes were read.
type boundedBody struct {
	io.ReadCloser
	left, max int64
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.left < 0 {
		return 0, &OversizedError{MaxBytes: b.max}
	}
	// One byte beyond the bound tells a body that fits from one that doesn't.
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return n - 1, &OversizedError{MaxBytes: b.max}
	}
	return n, err
}

package httpclient

import (
	"io"
	"net/http"
	"strconv"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// OversizedError means that the body of a response exceeded the limit.
type OversizedError struct {
	// MaxBytes is the limit.
	MaxBytes int64
}

// Error implements error. The text includes the limit.
func (e *OversizedError) Error() string {
	return "uncertain: answer is longer than " + strconv.FormatInt(e.MaxBytes, 10) + " bytes"
}

// FaultCode returns fault.Uncertain, because the server responded and may have
// executed the request.
func (e *OversizedError) FaultCode() fault.Code {
	return fault.Uncertain
}

// boundedTransport bounds the bodies of responses, including error responses, and
// relabels error responses that the server itself did not report.
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
		resp.Body = &boundedBody{ReadCloser: resp.Body, remaining: t.maxBytes, max: t.maxBytes}
	}
	if err := relabelNonConnectError(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// boundedBody fails with *OversizedError once more than max bytes were read.
type boundedBody struct {
	io.ReadCloser
	remaining, max int64
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.remaining < 0 {
		return 0, &OversizedError{MaxBytes: b.max}
	}
	// Reading one byte beyond the limit distinguishes a body of exactly max
	// bytes from a longer one.
	if int64(len(p)) > b.remaining+1 {
		p = p[:b.remaining+1]
	}
	n, err := b.ReadCloser.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return n - 1, &OversizedError{MaxBytes: b.max}
	}
	return n, err
}

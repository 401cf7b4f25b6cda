package backend

import (
	"bytes"
	"crypto/sha256"

	backendv1 "github.com/lentilwinch/lentilwinch/gen/backend/v1"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

// validateAnswer returns the answer if it is complete and belongs to the execution.
// Otherwise it fails with *AnswerError.
func validateAnswer(e port.Execution, resp *backendv1.ExecuteResponse) (port.Answer, error) {
	if defect := findDefect(e, resp); defect != "" {
		return port.Answer{}, &AnswerError{Defect: defect}
	}
	return port.Answer{Body: resp.GetAnswer(), Load: loadOf(resp.GetLoad())}, nil
}

// findDefect returns the first defect of the response, or "".
func findDefect(e port.Execution, resp *backendv1.ExecuteResponse) AnswerDefect {
	if resp.GetRequestId() != e.Request.Key.ID {
		return WrongRequestID
	}
	if resp.GetAttemptId() != e.Attempt {
		return WrongAttemptID
	}
	if resp.GetAnswerLength() != int64(len(resp.GetAnswer())) {
		return WrongLength
	}
	digest := sha256.Sum256(resp.GetAnswer())
	if !bytes.Equal(digest[:], resp.GetAnswerSha256()) {
		return WrongDigest
	}
	return ""
}

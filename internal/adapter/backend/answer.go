package backend

import (
	"bytes"
	"crypto/sha256"

	backendv1 "github.com/lentilwinch/lentilwinch/gen/backend/v1"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

// takeAnswer returns the answer when it is whole and the request's own.
func takeAnswer(e port.Execution, resp *backendv1.ExecuteResponse) (port.Answer, error) {
	if defect := defectOf(e, resp); defect != "" {
		return port.Answer{}, &AnswerError{Defect: defect}
	}
	return port.Answer{Body: resp.GetAnswer(), Load: loadOf(resp.GetLoad())}, nil
}

func defectOf(e port.Execution, resp *backendv1.ExecuteResponse) AnswerDefect {
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

package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

const (
	// maxDepth bounds the nesting of objects and arrays.
	maxDepth = 16
	// maxValues bounds the number of values, and so the memory for a document.
	maxValues = 100_000
)

type kind string

const (
	kindNull   kind = "null"
	kindBool   kind = "a boolean"
	kindNumber kind = "a number"
	kindString kind = "a string"
	kindArray  kind = "an array"
	kindObject kind = "an object"
)

// node is a JSON value. The text is set for scalars, items for arrays and
// members for objects. Members are in document order and may repeat names.
type node struct {
	kind    kind
	text    string
	items   []node
	members []member
}

type member struct {
	name  string
	value node
}

// syntaxError reports why a document isn't valid JSON and at which byte offset.
type syntaxError struct {
	offset int64
	reason string
}

// Error returns the reason and the byte offset.
func (e *syntaxError) Error() string {
	return e.reason + " at byte " + strconv.FormatInt(e.offset, 10)
}

// FaultCode returns fault.Invalid.
func (e *syntaxError) FaultCode() fault.Code {
	return fault.Invalid
}

// parse parses a document that consists of exactly one JSON value.
func parse(doc []byte) (node, error) {
	p := parser{dec: json.NewDecoder(bytes.NewReader(doc))}
	p.dec.UseNumber()
	root, err := p.value(0)
	if err != nil {
		return node{}, p.asSyntaxError(err)
	}
	if _, err := p.dec.Token(); !errors.Is(err, io.EOF) {
		return node{}, &syntaxError{offset: p.dec.InputOffset(), reason: "more data after the document"}
	}
	return root, nil
}

type parser struct {
	dec        *json.Decoder
	valueCount int
}

func (p *parser) asSyntaxError(err error) error {
	var syntaxErr *syntaxError
	if errors.As(err, &syntaxErr) {
		return syntaxErr
	}
	var jsonErr *json.SyntaxError
	if errors.As(err, &jsonErr) {
		return &syntaxError{offset: jsonErr.Offset, reason: jsonErr.Error()}
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return &syntaxError{offset: p.dec.InputOffset(), reason: "unexpected end"}
	}
	return &syntaxError{offset: p.dec.InputOffset(), reason: err.Error()}
}

func (p *parser) value(depth int) (node, error) {
	p.valueCount++
	if p.valueCount > maxValues {
		return node{}, &syntaxError{offset: p.dec.InputOffset(), reason: "more than " + strconv.Itoa(maxValues) + " values"}
	}
	token, err := p.dec.Token()
	if err != nil {
		return node{}, err
	}
	switch t := token.(type) {
	case json.Delim:
		return p.composite(t, depth+1)
	case string:
		return node{kind: kindString, text: t}, nil
	case json.Number:
		return node{kind: kindNumber, text: t.String()}, nil
	case bool:
		return node{kind: kindBool, text: strconv.FormatBool(t)}, nil
	default:
		return node{kind: kindNull, text: "null"}, nil
	}
}

func (p *parser) composite(open json.Delim, depth int) (node, error) {
	if depth > maxDepth {
		return node{}, &syntaxError{offset: p.dec.InputOffset(), reason: "nested too deeply"}
	}
	if open == '{' {
		return p.object(depth)
	}
	return p.array(depth)
}

func (p *parser) object(depth int) (node, error) {
	out := node{kind: kindObject}
	for p.dec.More() {
		token, err := p.dec.Token()
		if err != nil {
			return node{}, err
		}
		name, ok := token.(string)
		if !ok {
			return node{}, &syntaxError{offset: p.dec.InputOffset(), reason: "object key is not a string"}
		}
		value, err := p.value(depth)
		if err != nil {
			return node{}, err
		}
		out.members = append(out.members, member{name: name, value: value})
	}
	_, err := p.dec.Token()
	return out, err
}

func (p *parser) array(depth int) (node, error) {
	out := node{kind: kindArray}
	for p.dec.More() {
		value, err := p.value(depth)
		if err != nil {
			return node{}, err
		}
		out.items = append(out.items, value)
	}
	_, err := p.dec.Token()
	return out, err
}

// display returns the value as shown in problems.
func (n node) display() string {
	switch n.kind {
	case kindString:
		return strconv.Quote(n.text)
	case kindArray, kindObject:
		return string(n.kind)
	default:
		return n.text
	}
}

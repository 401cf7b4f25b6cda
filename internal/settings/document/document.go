// Package document decodes JSON documents strictly. Unknown and repeated
// fields and wrong types are reported together, each with its path, the value
// found and the allowed values. A syntax error is reported alone.
package document

import (
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Root is the path of problems that concern the whole document.
const Root = "document"

// Decode decodes a JSON object of at most maxBytes into the struct that into
// points to and adds all problems to p. Fields missing from the document keep
// their values. It supports structs with json tags, slices, strings, int, int64
// and booleans, and panics on other types, which are a bug of the caller.
func Decode(doc []byte, maxBytes int, into any, p *Problems) {
	decodeDocument(doc, maxBytes, into, newDecoder(p, false))
}

// DecodeComplete is like Decode and also reports missing fields, except those
// whose json tag has omitempty.
func DecodeComplete(doc []byte, maxBytes int, into any, p *Problems) {
	decodeDocument(doc, maxBytes, into, newDecoder(p, true))
}

func decodeDocument(doc []byte, maxBytes int, into any, d *decoder) {
	p := d.problems
	if len(doc) > maxBytes {
		p.Add(Root, strconv.Itoa(len(doc))+" bytes", "at most "+strconv.Itoa(maxBytes)+" bytes")
		return
	}
	if !utf8.Valid(doc) {
		p.Add(Root, "bytes that are not UTF-8", "a JSON object in UTF-8")
		return
	}
	root, err := parse(doc)
	if err != nil {
		p.Add(Root, err.Error(), "a JSON object")
		return
	}
	d.decode("", root, reflect.ValueOf(into).Elem())
}

type decoder struct {
	problems *Problems
	// requireAll reports missing fields that aren't optional.
	requireAll bool
	fieldSets  map[reflect.Type]fieldSet
}

func newDecoder(p *Problems, requireAll bool) *decoder {
	return &decoder{problems: p, requireAll: requireAll, fieldSets: make(map[reflect.Type]fieldSet)}
}

func (d *decoder) decode(path string, n node, into reflect.Value) {
	switch into.Kind() {
	case reflect.Struct:
		d.decodeStruct(path, n, into)
	case reflect.Slice:
		d.decodeSlice(path, n, into)
	case reflect.String:
		d.decodeString(path, n, into)
	case reflect.Bool:
		d.decodeBool(path, n, into)
	case reflect.Int, reflect.Int64:
		d.decodeInt(path, n, into)
	default:
		panic("document: unsupported type " + into.Type().String())
	}
}

// rejectOtherKind adds a problem and returns true if n isn't of the wanted
// kind.
func (d *decoder) rejectOtherKind(path string, n node, want kind) bool {
	if n.kind == want {
		return false
	}
	if path == "" {
		path = Root
	}
	d.problems.Add(path, n.display(), string(want))
	return true
}

func (d *decoder) decodeStruct(path string, n node, into reflect.Value) {
	if d.rejectOtherKind(path, n, kindObject) {
		return
	}
	fields := d.fieldsOf(into.Type())
	seen := make(map[string]bool, len(n.members))
	for _, m := range n.members {
		fieldPath := Join(path, displayName(m.name))
		index, found := fields.index(m.name)
		switch {
		case !found:
			d.problems.Add(fieldPath, "unknown field", "one of "+strings.Join(fields.names, ", "))
		case seen[m.name]:
			d.problems.Add(fieldPath, "repeated field", "each field once")
		default:
			d.decode(fieldPath, m.value, into.Field(index))
		}
		seen[m.name] = true
	}
	if d.requireAll {
		d.requireFields(path, fields, seen)
	}
}

func (d *decoder) requireFields(path string, fields fieldSet, seen map[string]bool) {
	for i, name := range fields.names {
		if !fields.optional[i] && !seen[name] {
			d.problems.Add(Join(path, name), "missing", "the field, also where its value is empty, 0 or false")
		}
	}
}

func (d *decoder) decodeSlice(path string, n node, into reflect.Value) {
	if d.rejectOtherKind(path, n, kindArray) {
		return
	}
	out := reflect.MakeSlice(into.Type(), len(n.items), len(n.items))
	for i, item := range n.items {
		d.decode(Index(path, i), item, out.Index(i))
	}
	into.Set(out)
}

func (d *decoder) decodeString(path string, n node, into reflect.Value) {
	if d.rejectOtherKind(path, n, kindString) {
		return
	}
	into.SetString(n.text)
}

func (d *decoder) decodeBool(path string, n node, into reflect.Value) {
	if d.rejectOtherKind(path, n, kindBool) {
		return
	}
	into.SetBool(n.text == "true")
}

func (d *decoder) decodeInt(path string, n node, into reflect.Value) {
	if d.rejectOtherKind(path, n, kindNumber) {
		return
	}
	value, err := strconv.ParseInt(n.text, 10, into.Type().Bits())
	if err != nil {
		d.problems.Add(path, n.text, "a whole number without fraction or exponent, of at most 64 bits")
		return
	}
	into.SetInt(value)
}

// displayName returns a field's name for use in paths. Names with bytes other
// than letters, digits and underscores are quoted.
func displayName(name string) string {
	for i := range len(name) {
		if !isNameByte(name[i]) {
			return strconv.Quote(truncate(name))
		}
	}
	return truncate(name)
}

func isNameByte(b byte) bool {
	return b == '_' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
}

// fieldSet holds the JSON names of a struct's fields, in order.
type fieldSet struct {
	names    []string
	optional []bool
}

func (d *decoder) fieldsOf(t reflect.Type) fieldSet {
	if cached, ok := d.fieldSets[t]; ok {
		return cached
	}
	var out fieldSet
	for i := range t.NumField() {
		name, options, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		out.names = append(out.names, name)
		out.optional = append(out.optional, strings.Contains(options, "omitempty"))
	}
	d.fieldSets[t] = out
	return out
}

func (s fieldSet) index(name string) (int, bool) {
	for i, field := range s.names {
		if field == name {
			return i, true
		}
	}
	return 0, false
}

// Join returns the path of a field in the object at path.
func Join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

// Index returns the path of item i in the array at path.
func Index(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}

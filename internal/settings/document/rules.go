package document

import (
	"slices"
	"strconv"
	"strings"
)

// nameRule describes valid names.
const nameRule = "1 to 63 characters: a-z, 0-9 and -, beginning and ending with a letter or digit"

const maxNameBytes = 63

// CheckName adds a problem unless value is a valid name of an instance, region,
// failure domain, workspace or service.
func (p *Problems) CheckName(path, value string) {
	if !validName(value) {
		p.Add(path, strconv.Quote(value), nameRule)
	}
}

func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for i := range len(s) {
		inner := i > 0 && i < len(s)-1
		if !isAlphanumeric(s[i]) && (s[i] != '-' || !inner) {
			return false
		}
	}
	return true
}

func isAlphanumeric(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= '0' && b <= '9'
}

// CheckRange adds a problem unless value is from low to high, both included.
func (p *Problems) CheckRange(path string, value, low, high int64) {
	if value >= low && value <= high {
		return
	}
	allowed := strconv.FormatInt(low, 10) + " to " + strconv.FormatInt(high, 10)
	p.Add(path, strconv.FormatInt(value, 10), allowed)
}

// CheckOneOf adds a problem unless value is one of the allowed values.
func (p *Problems) CheckOneOf(path, value string, allowed []string) {
	if !slices.Contains(allowed, value) {
		p.Add(path, strconv.Quote(value), "one of "+strings.Join(allowed, ", "))
	}
}

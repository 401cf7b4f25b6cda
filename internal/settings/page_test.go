package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// leaves calls f with the path and the value of every setting.
func leaves(prefix string, v reflect.Value, f func(path string, value any)) {
	for i := range v.NumField() {
		path := prefix + v.Type().Field(i).Tag.Get("json")
		if v.Field(i).Kind() == reflect.Struct {
			leaves(path+".", v.Field(i), f)
			continue
		}
		f(path, v.Field(i).Interface())
	}
}

func TestOperationsPageListsEverySetting(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	must.NoError(t, err)
	rows := 0
	leaves("", reflect.ValueOf(Default()), func(path string, value any) {
		shown := fmt.Sprint(value)
		if reflect.ValueOf(value).IsZero() {
			shown = "required"
		}
		must.StrContains(t, string(page), "\n| `"+path+"` | "+shown+" |")
		rows++
	})
	section := string(page)[strings.Index(string(page), "## Settings"):strings.Index(string(page), "## Tickets")]
	must.Eq(t, rows, strings.Count(section, "\n| `"))
}

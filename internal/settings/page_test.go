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

// forEachSetting calls f with the path and the value of every setting.
func forEachSetting(prefix string, v reflect.Value, f func(path string, value any)) {
	for i := range v.NumField() {
		path := prefix + v.Type().Field(i).Tag.Get("json")
		if v.Field(i).Kind() == reflect.Struct {
			forEachSetting(path+".", v.Field(i), f)
			continue
		}
		f(path, v.Field(i).Interface())
	}
}

func TestOperationsPageListsEverySetting(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	must.NoError(t, err)
	rows := 0
	forEachSetting("", reflect.ValueOf(Default()), func(path string, value any) {
		want := fmt.Sprint(value)
		if reflect.ValueOf(value).IsZero() {
			want = "required"
		}
		must.StrContains(t, string(page), "\n| `"+path+"` | "+want+" |")
		rows++
	})
	section := string(page)[strings.Index(string(page), "## Settings"):strings.Index(string(page), "## Tickets")]
	must.Eq(t, rows, strings.Count(section, "\n| `"))
}

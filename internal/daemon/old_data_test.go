package daemon

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fill sets every exported field within v, with one element in each list.
func fill(t *testing.T, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		if v.Type() == reflect.TypeFor[time.Time]() {
			v.Set(reflect.ValueOf(time.Unix(1772000000, 0).UTC()))
			return
		}
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(t, v.Field(i))
			}
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(t, v.Index(0))
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(t, key)
		fill(t, value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(1.5)
	case reflect.Int, reflect.Int32, reflect.Int64:
		v.SetInt(1)
	default:
		t.Fatalf("no value for a %s", v.Type())
	}
}

// Tools read the state dump. Many of its keys are Go field names, so renaming
// a field without a tag would change a key.
func TestDumpHasTheKeysOfEarlierBuilds(t *testing.T) {
	var d dump
	fill(t, reflect.ValueOf(&d).Elem())
	got, err := json.MarshalIndent(d, "", "  ")
	must.NoError(t, err)
	want, err := os.ReadFile("testdata/dump.json")
	must.NoError(t, err)
	must.EqOp(t, string(want), string(got)+"\n")
}

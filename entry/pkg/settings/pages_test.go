package settings_test

import (
	"encoding"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"chervilusher.dev/entry/pkg/settings"
	"chervilusher.dev/lib/configuration"
	"chervilusher.dev/lib/jsontime"
)

const page = "../../../docs/CONFIG.md"

// key is one leaf of a JSON document and its value.
type key struct {
	path  string
	value reflect.Value
}

// keysOf returns the leaves of a struct by their JSON paths; elements of lists are written as list[].
func keysOf(prefix string, value reflect.Value) []key {
	var keys []key
	for i := range value.NumField() {
		name, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("json"), ",")
		keys = append(keys, keysOfField(prefix+name, value.Field(i))...)
	}
	return keys
}

func keysOfField(path string, field reflect.Value) []key {
	_, isText := reflect.New(field.Type()).Interface().(encoding.TextUnmarshaler)
	switch {
	case isText:
		return []key{{path, field}}
	case field.Kind() == reflect.Struct:
		return keysOf(path+".", field)
	case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct:
		return keysOf(path+"[].", reflect.New(field.Type().Elem()).Elem())
	default:
		return []key{{path, field}}
	}
}

// rowsOf returns the cells of each table row of the page by the key that it starts with.
func rowsOf(t *testing.T) map[string][]string {
	t.Helper()
	raw, err := os.ReadFile(page)
	require.NoError(t, err)
	rows := map[string][]string{}
	for line := range strings.Lines(string(raw)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), " | ")
		name := strings.Trim(strings.TrimSpace(cells[0]), "`")
		if len(cells) > 1 {
			rows[name] = cells
		}
	}
	return rows
}

func TestThePageNamesEachSettingAndItsDefault(t *testing.T) {
	rows := rowsOf(t)
	for _, one := range keysOf("", reflect.ValueOf(*settings.Default())) {
		row, ok := rows[one.path]
		require.True(t, ok, "docs/CONFIG.md has no row for the setting %s", one.path)
		require.GreaterOrEqual(t, len(row), 4, one.path)
		if one.value.IsZero() {
			continue
		}
		require.Equal(t, "`"+format(one.value)+"`", strings.TrimSpace(row[3]), "default of %s", one.path)
	}
}

func TestThePageNamesEachKeyOfTheConfiguration(t *testing.T) {
	rows := rowsOf(t)
	for _, one := range keysOf("", reflect.ValueOf(configuration.Document{})) {
		require.Contains(t, rows, one.path, "docs/CONFIG.md has no row for it")
	}
}

// format writes a default as the page does: durations without zero minutes and seconds.
func format(value reflect.Value) string {
	length, ok := value.Interface().(jsontime.Duration)
	if !ok {
		return fmt.Sprint(value.Interface())
	}
	return strings.TrimSuffix(length.String(), "m0s") + map[bool]string{true: "m"}[strings.HasSuffix(length.String(), "m0s")]
}

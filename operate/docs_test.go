package operate

import (
	"encoding"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/stoatmount/stoatmount/process/settings"
	"github.com/stoatmount/stoatmount/request/outcome"
	"github.com/stoatmount/stoatmount/version/config"
)

func document(c *qt.C, name string) string {
	data, err := os.ReadFile(filepath.Join("..", name))
	c.Assert(err, qt.IsNil)
	return string(data)
}

func TestCodesDocument(t *testing.T) {
	c := qt.New(t)
	_, table, found := strings.Cut(document(c, "docs/CODES.md"), "| code |")
	c.Assert(found, qt.IsTrue)
	c.Check("| code |"+table, qt.Equals, codesMarkdown())
	c.Check(strings.Count(table, "\n"), qt.Equals, len(outcome.Codes())+2)
}

// visitKeys calls visit for each key of the TOML struct v.
func visitKeys(prefix string, v reflect.Value, visit func(key string, value reflect.Value)) {
	if v.Kind() == reflect.Slice {
		v = reflect.New(v.Type().Elem()).Elem()
	}
	if _, isText := v.Interface().(encoding.TextMarshaler); isText || v.Kind() != reflect.Struct {
		visit(prefix, v)
		return
	}
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("toml"), ",")
		visitKeys(strings.TrimPrefix(prefix+"."+name, "."), v.Field(i), visit)
	}
}

func TestConfigurationDocument(t *testing.T) {
	c := qt.New(t)
	settingsPart, configPart, found := strings.Cut(document(c, "docs/CONFIGURATION.md"), "## Configuration\n")
	c.Assert(found, qt.IsTrue)
	known := make(map[string]bool)
	visitKeys("", reflect.ValueOf(settings.Default()), func(key string, value reflect.Value) {
		known[key] = true
		row := fmt.Sprintf("| `%s` |", key)
		if !value.IsZero() {
			row += fmt.Sprintf(" `%s` |", defaultText(value))
		}
		c.Check(strings.Contains(settingsPart, row), qt.IsTrue, qt.Commentf("%s", row))
	})
	visitKeys("", reflect.ValueOf(config.Config{}), func(key string, _ reflect.Value) {
		known[key] = true
		c.Check(strings.Contains(configPart, fmt.Sprintf("| `%s` |", key)), qt.IsTrue, qt.Commentf("%s", key))
	})
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\|").FindAllStringSubmatch(settingsPart+configPart, -1) {
		c.Check(known[row[1]], qt.IsTrue, qt.Commentf("%s is documented but does not exist", row[1]))
	}
}

func defaultText(value reflect.Value) string {
	if d, ok := value.Interface().(config.Duration); ok {
		return d.Std().String()
	}
	return fmt.Sprint(value.Interface())
}

// Every command of stoatctl is in docs/OPERATING.md.
func TestOperatingDocumentHasEveryCommand(t *testing.T) {
	c := qt.New(t)
	text := document(c, "docs/OPERATING.md")
	for field := range reflect.TypeFor[CLI]().Fields() {
		name := strings.ToLower(field.Name)
		c.Check(strings.Contains(text, "stoatctl "+name), qt.IsTrue, qt.Commentf("%s", name))
	}
}

func TestContributingNamesTheFolders(t *testing.T) {
	c := qt.New(t)
	text := document(c, "CONTRIBUTING.md")
	for _, folder := range regexp.MustCompile("(?m)^\\| `([a-z]+)/`").FindAllStringSubmatch(text, -1) {
		info, err := os.Stat(filepath.Join("..", folder[1]))
		c.Check(err == nil && info.IsDir(), qt.IsTrue, qt.Commentf("%s", folder[1]))
	}
}

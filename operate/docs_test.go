package operate

import (
	"encoding"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
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

// repository is what pages may name: files by path from the root, the folders of the root, and the tests, fuzz targets
// and benchmarks, each by its name alone and behind the last part of its package's path.
type repository struct {
	files, folders []string
	tests          map[string]bool
}

var testDeclared = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Z]\w*)\(`)

// readRepository lists what lies below the root. The journal keeps old names and is not looked into.
func readRepository(c *qt.C) repository {
	r := repository{tests: make(map[string]bool)}
	c.Assert(fs.WalkDir(os.DirFS(".."), ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && path != "." && !strings.Contains(path, "/") {
			r.folders = append(r.folders, regexp.QuoteMeta(path))
		}
		if entry.IsDir() && (path == ".git" || path == "journal") {
			return fs.SkipDir
		}
		r.files = append(r.files, path)
		if strings.HasSuffix(path, "_test.go") {
			for _, test := range testDeclared.FindAllStringSubmatch(document(c, path), -1) {
				r.tests[test[1]] = true
				r.tests[filepath.Base(filepath.Dir(path))+"."+test[1]] = true
			}
		}
		return nil
	}), qt.IsNil)
	return r
}

var (
	testNamed = regexp.MustCompile(`\b(?:[a-z]\w*\.)?(?:Test|Fuzz|Benchmark)[A-Z][a-z]\w*`)
	// goFileNamed also finds a file without the folders above it.
	goFileNamed = regexp.MustCompile("(?:^|[\\s`(|,:])(?:\\./)?([a-z0-9_]+(?:/[a-z0-9_]+)*\\.go)\\b")
	linkNamed   = regexp.MustCompile(`\]\(([^):#]+)(?:#[^)]*)?\)`)
	// placeholder marks a path that is a pattern for many.
	placeholder = regexp.MustCompile(`\.\.\.|[<>{}$]|[A-Z]{3,}(?:/|$)`)
	// exported is a name of a package behind its path, as in process/burn.Classify.
	exported = regexp.MustCompile(`\.[A-Z]\w*(?:\.\w+)*$`)
	// oldNames is the section of the glossary that has names which are gone.
	oldNames   = regexp.MustCompile(`(?s)\n## Old names\n.*?(?:\n## |$)`)
	lineNumber = regexp.MustCompile(`:\d+(?::\d+)?$`)
)

// has tells whether a path or a pattern of paths, seen from the root, exists.
func (r repository) has(path string) bool {
	found, err := filepath.Glob(filepath.Join("..", path))
	return err == nil && len(found) > 0
}

// stale lists what a page names and the repository does not have. The expression paths finds paths from the root.
func (r repository) stale(page, text string, paths *regexp.Regexp) []string {
	var missing []string
	for _, test := range testNamed.FindAllString(text, -1) {
		if !r.tests[test] {
			missing = append(missing, test)
		}
	}
	for _, file := range goFileNamed.FindAllStringSubmatch(text, -1) {
		if !slices.ContainsFunc(r.files, func(path string) bool { return strings.HasSuffix("/"+path, "/"+file[1]) }) {
			missing = append(missing, file[1])
		}
	}
	for _, link := range linkNamed.FindAllStringSubmatch(text, -1) {
		if !r.has(filepath.Join(filepath.Dir(page), link[1])) {
			missing = append(missing, link[1])
		}
	}
	for _, match := range paths.FindAllStringSubmatch(text, -1) {
		path := lineNumber.ReplaceAllString(strings.TrimRight(match[1], ".:/"), "")
		if !placeholder.MatchString(match[1]) && !r.has(path) && !r.has(exported.ReplaceAllString(path, "")) {
			missing = append(missing, path)
		}
	}
	return missing
}

// TestPagesNameWhatExists compares the packages, files and tests that pages name with the repository. The table of
// old names in the glossary is left out, as is whatever is a pattern or lies outside of the repository.
func TestPagesNameWhatExists(t *testing.T) {
	c := qt.New(t)
	r := readRepository(c)
	paths := regexp.MustCompile("(?m)(?:^|[][\\s`(|,\"'=])(?:\\./)?((?:" + strings.Join(r.folders, "|") + ")/[^][\\s`\"'()|,;]*)")
	pages := 0
	for _, page := range r.files {
		named, err := filepath.Match("*.md", page)
		c.Assert(err, qt.IsNil)
		if !named && page != "KNOWN-RED.txt" && page != "test.sh" && !(strings.HasPrefix(page, "docs/") && strings.HasSuffix(page, ".md")) {
			continue
		}
		pages++
		text := document(c, page)
		if page == "docs/GLOSSARY.md" {
			text = oldNames.ReplaceAllString(text, "\n## ")
		}
		c.Check(r.stale(page, text, paths), qt.HasLen, 0, qt.Commentf("%s names what does not exist", page))
	}
	c.Check(pages > 20, qt.IsTrue, qt.Commentf("%d pages", pages))
}

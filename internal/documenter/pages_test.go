package documenter_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

var (
	quoted    = regexp.MustCompile("`[^`]+`")
	qualified = regexp.MustCompile(`^[a-z]+(?:\.\w+)*$`)
	goFile    = regexp.MustCompile(`^[\w/]+\.go$`)
	testName  = regexp.MustCompile(`\b(?:Test|Fuzz)[A-Z]\w*`)
	treePath  = regexp.MustCompile(`\b(?:internal|cmd|pkg|platform|docs)/[\w./-]*\w`)
)

// declarations are the names of the repository's Go files and of what they declare.
type declarations struct {
	// names holds "package", "package.Name" and "package.Type.Member" of all but test files.
	names map[string]bool
	tests map[string]bool
	// files holds each Go file's path, "folder/file.go" and "file.go".
	files map[string]bool
}

// TestPagesNameExistingCode guards against pages that keep the names of renamed code.
func TestPagesNameExistingCode(t *testing.T) {
	root := filepath.Join("..", "..")
	d := parseTree(t, root)
	for _, page := range []string{"docs/GLOSSARY.md", "docs/PROOFS.md"} {
		text, err := os.ReadFile(filepath.Join(root, page))
		must.NoError(t, err)
		for i, line := range strings.Split(string(text), "\n") {
			for _, name := range unknownNames(d, root, line, page == "docs/GLOSSARY.md") {
				t.Errorf("%s:%d: %s does not exist", page, i+1, name)
			}
		}
	}
}

// TestUnknownNames guards against a check that finds nothing.
func TestUnknownNames(t *testing.T) {
	root := filepath.Join("..", "..")
	d := parseTree(t, root)
	for line, want := range map[string][]string{
		"`documenter.Pages` and `documenter.Page.File` in `internal/documenter`, TestUnknownNames": nil,
		"`documenter.Absent`":                     {"documenter.Absent"},
		"`documenter.Page.Absent`":                {"documenter.Page.Absent"},
		"`absentpackage.Name`":                    {"absentpackage.Name"},
		"`absentpackage`":                         {"absentpackage"},
		"`documenter.go`, `documenter/absent.go`": {"documenter/absent.go"},
		"`internal/absent` and docs/ABSENT.md":    {"internal/absent", "docs/ABSENT.md"},
		"TestAbsentName/subtest, FuzzAbsent":      {"TestAbsentName", "FuzzAbsent"},
	} {
		must.Eq(t, want, unknownNames(d, root, line, true))
	}
}

// unknownNames returns the tests, files and paths that a line names and that don't exist, and
// with identifiers also its quoted packages and qualified names.
func unknownNames(d declarations, root, line string, identifiers bool) []string {
	var unknown []string
	for _, q := range quoted.FindAllString(line, -1) {
		name := strings.Trim(q, "`")
		if goFile.MatchString(name) && !d.files[name] || identifiers && qualified.MatchString(name) && !goFile.MatchString(name) && !d.names[name] {
			unknown = append(unknown, name)
		}
	}
	for _, name := range testName.FindAllString(line, -1) {
		if !d.tests[name] {
			unknown = append(unknown, name)
		}
	}
	for _, path := range treePath.FindAllString(line, -1) {
		if _, err := os.Stat(filepath.Join(root, path)); err != nil {
			unknown = append(unknown, path)
		}
	}
	return unknown
}

func parseTree(t *testing.T, root string) declarations {
	d := declarations{names: map[string]bool{}, tests: map[string]bool{}, files: map[string]bool{}}
	for _, top := range []string{"cmd", "internal", "pkg", "platform"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, e fs.DirEntry, err error) error {
			must.NoError(t, err)
			if e.IsDir() || !strings.HasSuffix(path, ".go") {
				return nil
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			must.NoError(t, err)
			d.addPath(root, path)
			d.addFile(file, strings.HasSuffix(path, "_test.go"))
			return nil
		})
		must.NoError(t, err)
	}
	return d
}

func (d declarations) addPath(root, path string) {
	folder, file := filepath.Split(path)
	d.files[file] = true
	d.files[filepath.Base(folder)+"/"+file] = true
	if full, err := filepath.Rel(root, path); err == nil {
		d.files[filepath.ToSlash(full)] = true
	}
}

func (d declarations) addFile(file *ast.File, test bool) {
	d.names[file.Name.Name] = true
	for _, decl := range file.Decls {
		switch decl := decl.(type) {
		case *ast.FuncDecl:
			if test && decl.Recv == nil {
				d.tests[decl.Name.Name] = true
			}
			if !test {
				d.addFunc(file.Name.Name, decl)
			}
		case *ast.GenDecl:
			for _, spec := range decl.Specs {
				if !test {
					d.addSpec(file.Name.Name, spec)
				}
			}
		}
	}
}

func (d declarations) addFunc(pkg string, f *ast.FuncDecl) {
	if f.Recv != nil {
		pkg += "." + receiverType(f.Recv.List[0].Type)
	}
	d.names[pkg+"."+f.Name.Name] = true
}

func receiverType(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.StarExpr:
		return receiverType(e.X)
	case *ast.IndexExpr:
		return receiverType(e.X)
	case *ast.IndexListExpr:
		return receiverType(e.X)
	case *ast.Ident:
		return e.Name
	}
	return ""
}

func (d declarations) addSpec(pkg string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		d.addNames(pkg, spec.Names)
	case *ast.TypeSpec:
		d.addNames(pkg, []*ast.Ident{spec.Name})
		switch members := spec.Type.(type) {
		case *ast.StructType:
			d.addFields(pkg+"."+spec.Name.Name, members.Fields)
		case *ast.InterfaceType:
			d.addFields(pkg+"."+spec.Name.Name, members.Methods)
		}
	}
}

func (d declarations) addFields(owner string, fields *ast.FieldList) {
	for _, f := range fields.List {
		d.addNames(owner, f.Names)
	}
}

func (d declarations) addNames(prefix string, names []*ast.Ident) {
	for _, n := range names {
		d.names[prefix+"."+n.Name] = true
	}
}

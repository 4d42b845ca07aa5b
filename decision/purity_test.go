// Package decision contains only this test. Its subpackages make the scheduling
// decisions.
package decision

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against decision packages that read the clock, the network or a file
// directly. Such code cannot run in virtual time or be understood in isolation, and
// the simulations would no longer test the code that runs in production.
func TestDecisionPackagesArePure(t *testing.T) {
	checkedFiles := 0
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		checkedFiles++
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		assert.NilError(t, err)
		checkPurity(t, path, file)
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, checkedFiles > 20, "only %d files found", checkedFiles)
}

func checkPurity(t *testing.T, path string, file *ast.File) {
	t.Helper()
	allowed := map[string]bool{
		"cmp": true, "container/heap": true, "container/list": true, "errors": true, "fmt": true, "maps": true,
		"math": true, "math/bits": true, "slices": true, "sort": true, "strings": true, "sync": true, "time": true,
		"github.com/cairnworks/cairnworks/object":  true,
		"github.com/cairnworks/cairnworks/request": true,
		"github.com/cairnworks/cairnworks/verdict": true,
	}
	for _, spec := range file.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		assert.NilError(t, err)
		isDecision := strings.HasPrefix(name, "github.com/cairnworks/cairnworks/decision/")
		assert.Check(t, isDecision || allowed[name], "%s imports %s", path, name)
	}
	clockFunctions := map[string]bool{"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true, "AfterFunc": true, "NewTimer": true, "NewTicker": true, "Tick": true}
	ast.Inspect(file, func(n ast.Node) bool {
		if selector, ok := n.(*ast.SelectorExpr); ok {
			pkg, ok := selector.X.(*ast.Ident)
			assert.Check(t, !ok || pkg.Name != "time" || !clockFunctions[selector.Sel.Name], "%s uses time.%s", path, selector.Sel.Name)
		}
		return true
	})
}

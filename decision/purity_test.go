// Package decision holds nothing itself; its packages are the decisions under load.
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

// A decision that reads the clock, the network or a file by itself can be neither
// replayed in virtual time nor read without its surroundings, and its proofs stop
// proving what runs.
func TestDecisionsImportNoOutsideWorld(t *testing.T) {
	checked := 0
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		checked++
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		assert.NilError(t, err)
		checkFile(t, path, file)
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, checked > 20, "only %d files found", checked)
}

func checkFile(t *testing.T, path string, file *ast.File) {
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
		decision := strings.HasPrefix(name, "github.com/cairnworks/cairnworks/decision/")
		assert.Check(t, decision || allowed[name], "%s imports %s", path, name)
	}
	clock := map[string]bool{"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true, "AfterFunc": true, "NewTimer": true, "NewTicker": true, "Tick": true}
	ast.Inspect(file, func(n ast.Node) bool {
		if call, ok := n.(*ast.SelectorExpr); ok {
			pkg, ok := call.X.(*ast.Ident)
			assert.Check(t, !ok || pkg.Name != "time" || !clock[call.Sel.Name], "%s uses time.%s", path, call.Sel.Name)
		}
		return true
	})
}

package settings

import (
	"fmt"
	"io"
	"reflect"
	"strings"
	"text/tabwriter"
)

// Describe writes every setting with its unit, default and effect, read from the
// struct tags, so that the list cannot fall behind the code.
func Describe(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SETTING\tUNIT\tDEFAULT\tEFFECT")
	describe(table, "", reflect.TypeFor[Settings]())
	return table.Flush()
}

func describe(w io.Writer, prefix string, t reflect.Type) {
	for field := range t.Fields() {
		name := prefix + strings.Split(field.Tag.Get("json"), ",")[0]
		if field.Type.Kind() == reflect.Struct {
			describe(w, name+".", field.Type)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", name, field.Tag.Get("unit"), field.Tag.Get("default"), field.Tag.Get("doc"))
	}
}

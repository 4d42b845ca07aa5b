package settings

import (
	"fmt"
	"io"
	"reflect"
	"strings"
	"text/tabwriter"
)

// Describe writes a table of all settings with their unit, default and effect. It is generated from
// the struct tags, so that it always matches the code.
func Describe(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SETTING\tUNIT\tDEFAULT\tEFFECT")
	describeFields(table, "", reflect.TypeFor[Settings]())
	return table.Flush()
}

func describeFields(w io.Writer, prefix string, t reflect.Type) {
	for field := range t.Fields() {
		name := prefix + strings.Split(field.Tag.Get("json"), ",")[0]
		if field.Type.Kind() == reflect.Struct {
			describeFields(w, name+".", field.Type)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", name, field.Tag.Get("unit"), field.Tag.Get("default"), field.Tag.Get("doc"))
	}
}

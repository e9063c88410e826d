// Package inspector prints the whole state of a value, unexported fields and what pointers lead to included, so that a
// test can show by a diff that a call changed nothing. It is for tests only.
package inspector

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Print returns the state of v, one field or element a line. Values of types whose names, such as "timer.Service", are in
// skipped are left out, also behind pointers. Functions, channels and unsafe pointers are printed by whether they are set
// or by address.
func Print(v any, skipped ...string) string {
	p := &printer{skipped: skipped, seen: map[uintptr]bool{}}
	p.print("", reflect.ValueOf(v))
	return p.out.String()
}

type printer struct {
	skipped []string
	seen    map[uintptr]bool // pointers that were followed
	out     strings.Builder
}

func (p *printer) print(path string, v reflect.Value) {
	if !v.IsValid() || slices.Contains(p.skipped, v.Type().String()) {
		return
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			fmt.Fprintf(&p.out, "%s: nil\n", path)
			return
		}
		if v.Kind() == reflect.Pointer {
			if p.seen[v.Pointer()] {
				return
			}
			p.seen[v.Pointer()] = true
		}
		p.print(path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			p.print(path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Map:
		fmt.Fprintf(&p.out, "%s: %d entries\n", path, v.Len())
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		for _, k := range keys {
			p.print(fmt.Sprintf("%s[%v]", path, k), v.MapIndex(k))
		}
	case reflect.Slice, reflect.Array:
		fmt.Fprintf(&p.out, "%s: %d elements\n", path, v.Len())
		for i := range v.Len() {
			p.print(fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	case reflect.Func, reflect.Chan:
		fmt.Fprintf(&p.out, "%s: set %v\n", path, !v.IsNil())
	default:
		fmt.Fprintf(&p.out, "%s: %v\n", path, v)
	}
}

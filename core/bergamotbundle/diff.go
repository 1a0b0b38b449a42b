package bergamotbundle

import (
	"fmt"

	"bergamotspur/core/bergamotini"
)

// Diff returns one line for each section or key in which b differs from a: "+" for added, "-" for removed and "~" for
// changed. It ignores the order of sections, spaces and comments.
func Diff(a, b *Bundle) (out []string) {
	before, after := values(a), values(b)
	for _, title := range sorted(before) {
		if _, ok := after[title]; !ok {
			out = append(out, "- ["+title+"]")
		}
	}
	for _, title := range sorted(after) {
		old, ok := before[title]
		if !ok {
			out = append(out, "+ ["+title+"]")
		}
		out = append(out, diffKeys(title, old, after[title])...)
	}
	return out
}

func diffKeys(title string, before, after map[string]string) (out []string) {
	for _, key := range sorted(before) {
		if _, ok := after[key]; !ok {
			out = append(out, fmt.Sprintf("- [%s] %s = %s", title, key, before[key]))
		}
	}
	for _, key := range sorted(after) {
		old, ok := before[key]
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("+ [%s] %s = %s", title, key, after[key]))
		case old != after[key]:
			out = append(out, fmt.Sprintf("~ [%s] %s: %s -> %s", title, key, old, after[key]))
		}
	}
	return out
}

func values(b *Bundle) map[string]map[string]string {
	out := map[string]map[string]string{}
	for _, s := range bergamotini.Parse("bundle", b.text).Sections() {
		out[s.Title()] = s.Values()
	}
	return out
}

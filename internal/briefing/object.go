package briefing

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Flatten makes parts of a JSON object as the simulator does: nested names are joined by dots, lists of plain
// values by commas, and a list of objects has its length under .count and its items under .0, .1 and onward.
func Flatten(name string, object map[string]any) *Fields {
	p := &Fields{Name: name}
	p.flatten("", object)
	return p
}

func (p *Fields) flatten(path string, object map[string]any) {
	for _, name := range slices.Sorted(maps.Keys(object)) {
		p.add(path+name, object[name])
	}
}

func (p *Fields) add(path string, value any) {
	switch v := value.(type) {
	case nil:
	case map[string]any:
		p.flatten(path+".", v)
	case []any:
		p.addList(path, v)
	default:
		p.parts = append(p.parts, part{path, fmt.Sprint(v)})
	}
}

func (p *Fields) addList(path string, list []any) {
	var plain []string
	for i, v := range list {
		if object, ok := v.(map[string]any); ok {
			p.flatten(fmt.Sprintf("%s.%d.", path, i), object)
		} else {
			plain = append(plain, fmt.Sprint(v))
		}
	}
	if len(plain) == 0 {
		p.parts = append(p.parts, part{path + ".count", fmt.Sprint(len(list))})
		return
	}
	p.parts = append(p.parts, part{path, strings.Join(plain, ",")})
}

package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Flatten converts a JSON object to fields as the simulator does. Nested names are joined by dots, lists
// of scalars by commas; a list of objects has its length under .count and its items under .0, .1 and so on.
func Flatten(name string, object map[string]any) *Fields {
	fields := &Fields{Name: name}
	fields.flatten("", object)
	return fields
}

func (f *Fields) flatten(path string, object map[string]any) {
	for _, name := range slices.Sorted(maps.Keys(object)) {
		f.addValue(path+name, object[name])
	}
}

func (f *Fields) addValue(path string, value any) {
	switch v := value.(type) {
	case nil:
	case map[string]any:
		f.flatten(path+".", v)
	case []any:
		f.addList(path, v)
	default:
		f.fields = append(f.fields, field{path, fmt.Sprint(v)})
	}
}

func (f *Fields) addList(path string, list []any) {
	var scalars []string
	for i, v := range list {
		if object, ok := v.(map[string]any); ok {
			f.flatten(fmt.Sprintf("%s.%d.", path, i), object)
		} else {
			scalars = append(scalars, fmt.Sprint(v))
		}
	}
	if len(scalars) == 0 {
		f.fields = append(f.fields, field{path + ".count", fmt.Sprint(len(list))})
		return
	}
	f.fields = append(f.fields, field{path, strings.Join(scalars, ",")})
}

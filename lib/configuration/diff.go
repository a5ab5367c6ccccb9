package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// FieldChange is one field that differs between two documents; an absent side is empty.
type FieldChange struct {
	Field string `json:"field"` // such as services[desk].deadline
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// Diff returns the fields in which two documents differ, in the order of their names.
func Diff(before, after *Document) ([]FieldChange, error) {
	left, err := flatten(before)
	if err != nil {
		return nil, err
	}
	right, err := flatten(after)
	if err != nil {
		return nil, err
	}
	fields := maps.Clone(left)
	maps.Copy(fields, right)
	changes := []FieldChange{}
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		if left[field] != right[field] {
			changes = append(changes, FieldChange{Field: field, Old: left[field], New: right[field]})
		}
	}
	return changes, nil
}

// flatten returns the JSON value of each leaf of the document by its path.
func flatten(document *Document) (map[string]string, error) {
	raw, err := json.Marshal(document)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var tree any
	if err := json.Unmarshal(raw, &tree); err != nil {
		return nil, errors.WithStack(err)
	}
	leaves := map[string]string{}
	return leaves, walk("", tree, leaves)
}

func walk(path string, node any, leaves map[string]string) error {
	switch value := node.(type) {
	case map[string]any:
		for key, child := range value {
			if err := walk(join(path, key), child, leaves); err != nil {
				return err
			}
		}
	case []any:
		for i, child := range value {
			if err := walk(fmt.Sprintf("%s[%s]", path, elementName(i, child)), child, leaves); err != nil {
				return err
			}
		}
	default:
		raw, err := json.Marshal(value)
		if err != nil {
			return errors.WithStack(err)
		}
		leaves[path] = string(raw)
	}
	return nil
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// elementName names an element of a list by its own name, or by its value or place in the list.
func elementName(index int, element any) string {
	switch value := element.(type) {
	case map[string]any:
		if name, ok := value["name"].(string); ok {
			return name
		}
	case string:
		return value
	}
	return fmt.Sprint(index)
}

// Pointer returns the JSON pointer of a field that Diff names.
func (d *Document) Pointer(field string) string {
	lists := map[string]func(name string) int{
		"tokens":   func(name string) int { return indexByName(d.Tokens, name, func(t *Token) string { return t.Name }) },
		"places":   func(name string) int { return indexByName(d.Places, name, func(p *Place) string { return p.Name }) },
		"services": func(name string) int { return indexByName(d.Services, name, func(s *Service) string { return s.Name }) },
		"pools":    func(name string) int { return indexByName(d.Pools, name, func(p *Pool) string { return p.Name }) },
		"objectives": func(name string) int {
			return indexByName(d.Objectives, name, func(o *Objective) string { return o.Name })
		},
	}
	list, rest, ok := strings.Cut(field, "[")
	index, isList := lists[list]
	if !ok || !isList {
		return "/" + strings.ReplaceAll(field, ".", "/")
	}
	name, rest, _ := strings.Cut(rest, "]")
	at := index(name)
	if at < 0 {
		return "/" + list
	}
	rest, _, _ = strings.Cut(rest, "[")
	return fmt.Sprintf("/%s/%d%s", list, at, strings.ReplaceAll(rest, ".", "/"))
}

func indexByName[T any](list []T, name string, nameOf func(*T) string) int {
	return slices.IndexFunc(list, func(each T) bool { return nameOf(&each) == name })
}

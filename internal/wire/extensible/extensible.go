package extensible

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Object is a JSON object that may have members unknown to T.
type Object[T any] struct {
	Known T
	// Extra is a JSON object of the members that T lacks. It is empty if T has all members.
	Extra []byte
}

// UnmarshalJSON decodes an object. An object without unknown members, the usual case, is decoded
// only once.
func (o *Object[T]) UnmarshalJSON(body []byte) error {
	var strict T
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if d.Decode(&strict) == nil {
		*o = Object[T]{Known: strict}
		return nil
	}
	*o = Object[T]{}
	if err := json.Unmarshal(body, &o.Known); err != nil {
		return fmt.Errorf("decode object: %w", err)
	}
	var all map[string]json.RawMessage
	if err := json.Unmarshal(body, &all); err != nil {
		return fmt.Errorf("decode object: %w", err)
	}
	for i, t := 0, reflect.TypeFor[T](); i < t.NumField(); i++ {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		delete(all, name)
	}
	if len(all) == 0 {
		return nil
	}
	var err error
	o.Extra, err = json.Marshal(all)
	return err
}

// MarshalJSON encodes the object with all members, known and unknown.
func (o Object[T]) MarshalJSON() ([]byte, error) {
	known, err := json.Marshal(o.Known)
	if err != nil || len(o.Extra) == 0 {
		return known, err
	}
	all := map[string]json.RawMessage{}
	for _, part := range [][]byte{o.Extra, known} {
		if err := json.Unmarshal(part, &all); err != nil {
			return nil, fmt.Errorf("encode object: %w", err)
		}
	}
	return json.Marshal(all)
}

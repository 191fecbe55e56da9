package extensible_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/wire/extensible"
)

type inner struct {
	Name string `json:"name"`
	Size int    `json:"size,omitempty"`
}

type outer struct {
	Items []extensible.Object[inner] `json:"items"`
}

func TestUnknownMembersArePreserved(t *testing.T) {
	for _, body := range []string{
		`{"items":[{"name":"a"},{"name":"b","size":3}]}`,
		`{"items":[{"name":"a","colour":"red","tags":["x",{"y":1.50}]}],"owner":null,"big":12345678901234567890}`,
	} {
		var o extensible.Object[outer]
		require.NoError(t, json.Unmarshal([]byte(body), &o))
		require.Equal(t, "a", o.Known.Items[0].Known.Name)
		b, err := json.Marshal(o)
		require.NoError(t, err)
		require.JSONEq(t, body, string(b))
	}
}

func TestKnownMembersOfWrongTypeAreRejected(t *testing.T) {
	for _, body := range []string{`{"items":[{"name":5}]}`, `{"items":5,"more":1}`, `[]`, `{"items":[{"name":"a","size":"3","more":1}]}`} {
		var o extensible.Object[outer]
		require.Error(t, json.Unmarshal([]byte(body), &o), body)
	}
}

package gue_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wasabideal/internal/wire/gue"
)

func TestInnerRejectsUnsupportedDatagrams(t *testing.T) {
	for name, c := range map[string]struct {
		datagram []byte
		ok       bool
	}{
		"no options":          {[]byte{0, 4, 0, 0, 0x45}, true},
		"with options":        {[]byte{1, 4, 0, 0, 9, 9, 9, 9, 0x45}, true},
		"truncated header":    {[]byte{0, 4}, false},
		"truncated options":   {[]byte{2, 4, 0, 0, 9}, false},
		"variant 1":           {[]byte{0x40, 4, 0, 0, 0x45}, false},
		"control message":     {[]byte{0x20, 4, 0, 0, 0x45}, false},
		"inner protocol IPv6": {[]byte{0, 41, 0, 0, 0x60}, false},
		"empty":               {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			inner, err := gue.Inner(c.datagram)
			if !c.ok {
				var malformed *gue.MalformedError
				require.ErrorAs(t, err, &malformed)
				return
			}
			require.NoError(t, err)
			require.Equal(t, []byte{0x45}, inner)
		})
	}
}

func FuzzInner(f *testing.F) {
	f.Add([]byte{0, 4, 0, 0, 0x45})
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = gue.Inner(b) })
}

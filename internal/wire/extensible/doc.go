// Package extensible reads JSON objects whose writers may add members that this version does
// not know, and writes them back as they came.
package extensible

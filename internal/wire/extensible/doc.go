// Package extensible decodes JSON objects that may have members unknown to this version, and
// encodes them again with these members unchanged.
package extensible

// Package minimum tracks the shortest duration of a sliding window.
package minimum

// Package text writes metrics in the text exposition format that scrapers read.
package text

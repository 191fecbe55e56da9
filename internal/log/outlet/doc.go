// Package outlet writes log lines without ever making their author wait.
package outlet

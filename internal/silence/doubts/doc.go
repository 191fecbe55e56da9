// Package doubts joins what several voters tell a balancer of subjects that leave
// packets unanswered.
package doubts

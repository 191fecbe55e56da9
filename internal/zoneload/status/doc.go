// Package status holds the load of all availability zones as balancers and voters report it to
// operators, and prints it as a table.
package status

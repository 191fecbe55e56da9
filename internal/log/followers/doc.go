// Package followers prints from the logs of balancers which parent each one follows, when
// and why it changed it last, and how many voters had sent it recent data by then.
package followers

// Package uplink shares the narrow link of an entry VM between callers' uploads
// and everything else.
//
// Load pattern: callers send an upload as a window of packets at a time, and
// repeat what is not acknowledged within a fifth of a second. Three uploads at
// once on a link of 2 Mbit/s wait longer than that in the link's own queue; the
// repeated packets then fill the link, and short requests wait behind them for
// hundreds of milliseconds. So few uploads are let in at once, the others are
// sent elsewhere at their opening, and the packets of those let in leave at a
// pace that keeps the waiting here, where short requests can pass.
package uplink

// Package zoneadmission rejects new flows of an overloaded service by the load of all availability
// zones. It answers bursts of several times the ordinary load, in one zone or in all: a limit for
// each balancer rejects callers of the zone with the highest load per balancer first, wherever there
// is free capacity. Here all balancers compare the same figure, the occupied slots per slot of the
// service, with the same limits, so that callers of all zones are served alike.
//
// The limits come from the latency objective. A flow waits for a slot as long as the slots' queues
// are deep, so a limit of 1 + objective/(4 x work) bounds the wait to a quarter of the objective.
//
// Overload does not sustain itself through the measured work, although responses take longer while
// queues are full:
//
//   - Longer responses only lower the limits, hence the queues, hence the responses.
//   - Partial rejection begins at 0.8 of the least limit, 1.2 occupied slots per slot. Slots are busy
//     then, however wrong the measured work is, and a load below the capacity shortens the queues
//     until nothing is rejected.
//   - Short responses, such as refusals of full queues, raise the limits to 3 and 5 at most: half of
//     an upstream's queue of four per slot, and all of it.
//
// A view is some 250 ms old, longer than queues take to fill. What the own zone's callers occupy is
// therefore scaled by the growth of this balancer's own requests in flight since the view was measured. The
// growth since it arrived would leave out that time: flows are then rejected in turns too little and too
// much. What callers of other zones occupy is scaled only while zones are busy: a burst in one zone would
// otherwise count as one in all.
//
// The package does no I/O and reads no clock.
package zoneadmission

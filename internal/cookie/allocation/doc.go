// Package allocation decides which upstream a cookie stands for, and which cookie new flows of an upstream
// get, so that no two upstreams ever have open flows with the same cookie.
//
// Each upstream has several cookies, which are hashes of its identity: no process has to hand them out, and
// any balancer knows them as soon as it knows the upstream. New flows get the first of them that stands for
// this upstream alone. A cookie of several upstreams is shared, and stands for
//
//   - the only instance with a claim (see package claims): a balancer claims a shared cookie for each
//     upstream that may have open flows with it,
//   - without a claim, the upstream that had been established for MaxSettling when this balancer heard of the
//     others; this balancer claims the cookie for it,
//   - otherwise none, also at balancers that know only one of the upstreams, for instance after a start: claims
//     without an upstream tell them that the cookie is shared. Packets with the cookie are then forwarded only by a balancer that stores their flow.
//
// An upstream is established at a balancer some seconds after the balancer has heard of it. By then all
// balancers in contact with the voters know it, and they give its cookie to no upstream that starts later.
// Before, its flows are forwarded only by a balancer that stores them, since another upstream with the same
// cookie may have started at the same time.
package allocation

package page

const head = `# Capacity

What each role costs today (9 daemons, 19 targets), in the largest fleet that was
played (985 daemons, 10,000 targets, 25 voters) and at the plan of two years (3,200 daemons, 21,000 targets, 9,800 addresses, 110 M flows, 220,000 new a
second, 7 regions, 18 zones, 16,000 changes a day). This page is printed by
` + "`go run . capacity`" + ` from slopes measured on: %s, %s. Times are of that
machine; bytes are not. Where a line says worked out, the assumption stands there.

## Plan against limits

`

const limitsText = `
## What breaks first, and what moves it

From 9 daemons to 3,200, in this order:

1. **One group of all daemons.** Flow owners, gossip and announced upstreams are
   per group. Probes cost the same at any size, but each member holds and hears
   of every upstream of its group, and a change of members ranks 4,096 slots
   anew. The plan is worked out for groups of 64 that span the zones of a
   region, 50 groups, each with its share of the addresses. Services name their
   group in the configuration, balancers theirs in the settings. *Assumption:*
   the fabric sends an address to the daemons of its group. Moving a service to
   another group ends its flows there: not built yet.
2. **The lease of announcements.** 8 s today. With 420 upstreams in a group the
   renewals alone need a lease of 30 s (see the gossip line); drains do not
   wait for leases, they are pushed.
3. **Following the voters directly.** 3,200 long polls on one leader work on one
   machine's loopback only in part (see FanoutMicros). Relays are ordinary
   daemons that others name in Sources; choosing them is by settings today.
4. **Relay bytes.** A relay sends its followers' deltas on top of its own
   control. With two relays a zone it would send 27.4 KB/s in the busiest hour,
   twice the limit; the plan takes six a zone. They are ordinary daemons, none
   is set aside.
5. **The digest of the whole configuration** at each change, most of a daemon's
   control time at 9,800 addresses (DeltaMicros). A digest that follows the
   deltas would take it away.
6. **The roster of balancers that remember request keys.** One for the whole
   fleet today; at 4,300 restarts a day it changes every 10 s, and each change
   must settle before the next. It has to become one a group.
7. **Restarts of all at once**, where flows are placed by cookies. A balancer that starts
   asks one voter of its settings, and holds that connection until a parent answers; an
   upstream whose balancer ended turns to a voter once. At 3,200 balancers and 21,000
   upstreams that start within a second a voter answers some 640 balancers with 40 bytes
   for each upstream that it hears or that is in their zone, 137 MB in all, 6.5 s of a
   link of 170 Mbit/s before compression. *Worked out, not played.* Voters' descriptors
   bear it (4,096 each).
8. **Regions that lose each other**, where flows are placed by cookies. The balancers of a
   side go on with the voters of that side and with what they have heard; a region without
   a voter hears of no departure meanwhile. Five voters for seven regions leave two without
   one: their zones go on with what they know, and new upstreams there are not heard until
   the regions meet again. More voters that hear upstreams and do not vote would mend it:
   not built.
9. **Announcements through the top of a zone.** Four balancers hand on those of a zone of
   1,167 upstreams, 70 bytes each before compression, and answer ten followers: 50 kB/s
   where 14 are allowed (the line above that says no). Balancers would have to register
   their upstreams once and renew them as one: not built.
10. **Whole configurations after a restart.** A daemon without a disk takes all of
   it; with a disk, deltas.
11. **Voters' connections while all start**, where flows are placed by cookies: one of three
   voters of the settings for each balancer, and each upstream until it is referred. At the plan
   five voters need more than 4,096 descriptors; 2,000 balancers, 20,000 upstreams and 25 voters
   2,200. More names in the settings would spread them.
12. **Silence found together** needs three packets to an upstream within 1.5 s. At 1,800 requests
   a second that holds up to some 900 upstreams; of 10,000 each gets one in five seconds, and
   balancers learn of a crash from overdue announcements, after 3.6 s.
13. **Departures are reported by every voter**, since each holds them: 25 notices of 40 bytes each
   to each balancer; control bytes grow as the voters (TestBytesGrowNoFasterThanVoters).

Not measured here, worked out only: anything between regions, real network
cards, more than a few hundred processes, and disks other than this machine's.
`

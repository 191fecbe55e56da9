package page

// sharedLoadText gives the cost of sharing the load between balancers.
const sharedLoadText = `
## Shared load

Measured with sockets on loopback (` + "`docs/design/shared-load.md`" + `, seven processors at a load average of 6
to 12, three runs, medians), with reports of two services and three zones, bytes with headers. The
processor time is that of the threads that serve the socket and send; collection of garbage and the
computation of the own figures are not included.

| While load changes | Reports per second | Bytes: report, answer | kB per second in, out | Share of a core | Limits |
|---|---|---|---|---|---|
| balancer with 8 followers, 3 zones | 94 | 139, 200 | 13.0, 18.8 | 0.023 | **14 kB and 0.01 exceeded** |
| voter, 12 reporting balancers, 3 zones | 217 | 130, 186 | 28, 40 | 0.036 | none |
| voter, 72 reporting balancers, 18 zones | 703 of 1,600 sent | 138, 701 | 97, 493 | 0.103 | none |

Calculated from the sizes of messages for 3,200 balancers in 18 zones, each report answered in full, while
load does not change (a report every 150 ms; while it changes in parentheses), kB per second in and out:

| Balancer | In | Out |
|---|---|---|
| without followers | 5.3 (9.6) | 1.0 (1.9) |
| with 4.4 followers and a parent | 9.7 (17.8) | 24 (44) |
| with 8 followers and no parent | 19 (49) | 44 (83) |
| each of the two voters (72 senders) | 73 (239) | 374 (1,222) |

So the limit of 14 kB per second holds for most balancers, but not for those that others follow. Answers
with only the zones that changed, and two voters for each zone instead of two in all, are not built. The
view is at most 250 ms old with 87 balancers while load changes, plus transit; on test days it was 250 to
320 ms old at the moment of a decision.

On a link of 2 Mbit/s a datagram costs 66 bytes beside its data (measured on the platform: 2,450 datagrams
of 36 bytes a second). The link holds 50 ms of packets, and what it drops uses bandwidth, too. Calculated
from the packets of each kind of flow: a short query costs about 870 bytes each way, an order with 900
bytes of data 1,900, a rejected attempt 102. At 8 times the load of a zone of 26 balancers (228 new flows a
second for each of them at the crest, 31 % of them orders) that is 1.1 times the link without any retry.
`

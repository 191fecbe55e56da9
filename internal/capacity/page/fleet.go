package page

// fleetText compares the page with test days of the largest fleet that was tested.
const fleetText = `
## The fleet of 1,010 VMs: calculated and measured

985 balancers (0.192 cores, 120 MB, 10 Mbit/s), 25 voters (0.48 cores, 536 MB), 10,000 upstreams, five
zones. The earlier page assumed five voters for any number of VMs with disks. "Before" is a test day without
faults on the code before the work on this fleet, "Now" a test day with faults (a zone and 177 balancers
partitioned, 337 upstreams unresponsive, 55 balancers killed) on the code after it; a day with faults
on the code before was aborted. Shares are of one core and include all work of a process; connections
are the maximum of open files.

| Line | Page before | Before | Now | Page now | Why the page was wrong |
|---|---|---|---|---|---|
| busiest balancer, core share | 0.0131 | 0.0969 | 0.0302 | 0.0127 | notices of 25 voters arrive separately, and each cost grew with the upstreams; a follower's start cost 0.42 s of a core; the page does not include starts |
| mean balancer, core share | - | 0.0101 | 0.0069 | - | the page includes root balancers only |
| mean voter, core share | 0.0098 | 0.0280 | 0.0316 | 0.0051 | voters poll each other, 24 polls in 0.8 s each, which the page omits |
| busiest voter, core share | 0.0098 | 0.0589 | 0.0670 | 0.0051 | one of three voters, from each of which 328 starting balancers load state |
| balancer, peak memory, MB | 8.2 | 48.7 | 51.5 | 8.3 | the page includes live data only; the runtime, garbage from the start and buffers are five times that |
| voter, peak memory, MB | - | 72.1 | 77.7 | - | |
| voter, maximum connections | 60 | 1047 | 1044 | 1117 | starts, and upstreams that call voters until they are referred to a balancer |
| between zones, kB per second, total | - | 3892 | 4031 | - | includes flows; not split by kind |
| p99 of requests without faults, ms | - | 79 to 377, rising | 77 to 113, constant | - | balancers lagged by 0.4 s while followers started |

Times: of 22 logged balancers in two zones the last received a configuration 39 and 19 ms after the
first (now, two changes; before, 24 and 32 ms of eleven balancers in one zone). How long a departure, a
crash or a partition takes to reach all VMs was not measured.
`

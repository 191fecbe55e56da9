package page

// sweepsText shows the results of test days at three sizes and their extrapolation.
const sweepsText = `
## Test days at 30, 100 and 300 VMs

The busiest process or the longest time at 300 VMs. In parentheses is the extrapolation from the last
three sizes to 3,163 VMs, which was not tested; a site without a stated size has none (-). Voters have
0.24 cores, balancers 0.192 or 0.4. No invariant was violated on any of these days. The next
acknowledgement after a kill of the voters probably waits for the next change, which is sent 3 s
later: not verified.

| | 14 and 4 upstreams per site | the grown site | the shifted workload | the large fleet | zones 4.5 ms apart |
|---|---|---|---|---|---|
| share of worth earned, share of requests served, at 300 | 0.957, 0.991 | 0.966, 0.995 | 0.925, 0.973 | 0.966, 0.995 | 0.844 and 0.863, 0.984 |
| balancer: CPU % | 4.4 (-) | 9.0 (21.0) | 10.5 (26.8) | 7.4 (14.2) | 10.2 (-) |
| balancer: memory MB | 24.2 (-) | 21.9 (37.4) | 27.3 (59.0) | 21.4 (35.1) | 20.9 (-) |
| balancer: kB per second | 95.4 (-) | 88.0 (113) | 105 (175) | 71.8 (76.1) | 87.2 (-) |
| balancer: connections | 68.0 (-) | 69.0 (98.0) | 72.0 (114) | 68.0 (72.0) | 71.0 (-) |
| voter: CPU % | 9.5 (-) | 15.1 (46.0) | 21.3 (79.8) | 17.3 (45.1) | 19.1 (-) |
| voter: memory MB | 34.7 (-) | 36.4 (91.0) | 40.9 (108) | 35.1 (75.2) | 38.9 (-) |
| voter: kB per second | 219 (-) | 181 (632) | 284 (1503) | 191 (527) | 231 (-) |
| voter: connections | 311 (-) | 506 (2860) | 534 (3223) | 593 (3113) | 393 (-) |
| configuration acknowledged, ms | 103 (-) | 200 (493) | 1080 (1110) | 402 (963) | 304 (-) |
| configuration in force, ms | 2.0 (-) | 64.0 (82.1) | 1196 (29896) | 46.0 (46.0) | 83.0 (-) |
| departure acknowledged, ms | 48.0 (-) | 51.0 (52.0) | 55.0 (60.5) | 129 (335) | 113 (-) |
| next acknowledgement after a kill of the voters, ms | 3030 (-) | 3049 (3049) | 887 (1067) | 3035 (3035) | 3060 (-) |
| serving again after a kill of all processes, ms | 30000 (-) | 30000 (1721682) | 8500 (18680) | 30000 (146715) | 30000 (-) |

`

package page

// sweepsText is what days at three sizes showed, with the sizes carried on.
const sweepsText = `
## Days at 30, 100 and 300 VMs

The busiest process or the longest time at 300, in brackets what the last three sizes carry on to
3,163 VMs, which is not played. Voters have 0.24 cores, balancers 0.192 or 0.4. No promise was broken
on any of these days.

| | 14 and 4 upstreams a site | the grown site | the shifted work | the large fleet |
|---|---|---|---|---|
| worth, served of the day at 300 | 0.957, 0.991 | 0.964, 0.993 | 0.926, 0.975 | 0.964, 0.995 |
| balancer: processor % | 5.2 (-) | 10.7 (24.8) | 13.4 (39.9) | 8.9 (17.2) |
| balancer: memory MB | 23.2 (-) | 24.4 (47.9) | 25.1 (49.9) | 22.7 (39.7) |
| balancer: kB a second | 97.2 (-) | 89.8 (110) | 110 (188) | 72.2 (75.0) |
| balancer: connections | 65.0 (-) | 73.0 (101) | 96.0 (176) | 66.0 (67.8) |
| voter: processor % | 9.7 (-) | 16.8 (50.5) | 23.9 (99.2) | 17.4 (40.9) |
| voter: memory MB | 38.4 (-) | 35.5 (85.6) | 46.6 (154) | 35.8 (78.3) |
| voter: kB a second | 222 (-) | 191 (708) | 233 (1051) | 191 (538) |
| voter: connections | 311 (-) | 533 (3212) | 586 (4159) | 620 (3434) |
| configuration acknowledged, ms | 118 (-) | 321 (912) | 1056 (1066) | 428 (1236) |
| departure acknowledged, ms | 47.0 (-) | 57.0 (65.0) | 50.0 (50.0) | 68.0 (92.7) |
| serving after all were killed, ms | 30000 (-) | 0.00 (0.00) | 9500 (89657) | 30000 (3334856) |

`

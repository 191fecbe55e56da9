// Package home names the voter that hears an upstream.
//
// Each voter tells all balancers of the upstreams that it hears, and later that it hears
// them no longer. An upstream that is heard now by one voter and now by another is news
// twice each time: where all balancers of 300 restarted, 3,000 upstreams were told to each
// of them six times. So all announcements of an upstream are handed to one voter, of its
// own availability zone where there is one: what that voter says counts there when the
// zone is cut off.
package home

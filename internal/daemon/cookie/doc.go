// Package cookie is the balancer process that places flows by cookies: sockets,
// clock and threads around the pure router.
package cookie

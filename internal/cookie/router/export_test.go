package router

import "wasabideal/internal/cookie/allocation"

// NarrowCookies replaces the cookies of all choices but the first by few values, so that they are often
// shared. It must be called before the router knows any upstream.
func (r *Router) NarrowCookies(values uint32) {
	r.cookies = allocation.New[*target](func(incarnation, born uint64, choice int) uint32 {
		if choice == 0 {
			return Cookie(incarnation, born)
		}
		return 1 + cookieOf(incarnation, born, choice)%values
	})
}

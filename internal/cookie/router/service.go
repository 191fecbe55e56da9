package router

import (
	"wasabideal/internal/cookie/admission"
	"wasabideal/internal/model/configuration"
)

// service is what the upstreams of one service have in common.
type service struct {
	// others and uploads are the response times of requests. An upload takes as
	// long as its body needs on the way: as an answer among others it would have
	// short requests refused, though the upstreams are idle.
	others, uploads admission.Admission
	// underWay counts flows that are being opened and requests without an answer.
	underWay int
}

// service returns the service of that name.
func (r *Router) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{}
		r.services[name] = s
	}
	return s
}

// admission returns the response times that matter to requests of a class.
func (s *service) admission(c configuration.Class) *admission.Admission {
	if c == configuration.Upload {
		return &s.uploads
	}
	return &s.others
}

// count adds flows that are being opened, and requests under way.
func (t *target) count(opening, working int) {
	t.opening += opening
	t.working += working
	t.service.underWay += opening + working
}

package server

import "net/http"

// servePlain serves the plain services beside the engines.
func (s *Server) servePlain(w http.ResponseWriter, _ *http.Request) {
	s.writeRefusal(w, refuse(http.StatusNotFound, "not_found", "there is no such route"))
}

func (s *Server) readyGroups() map[string]uint64 { return nil }

//go:build go1.27

package accepter

import "net/http"

// AllowHeaderValues sets the number of header values that s accepts to MaxHeaderValues.
func AllowHeaderValues(s *http.Server) { s.MaxHeaderValueCount = MaxHeaderValues }

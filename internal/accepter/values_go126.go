//go:build !go1.27

package accepter

import "net/http"

// AllowHeaderValues does nothing: net/http counts no header values before Go 1.27.
func AllowHeaderValues(*http.Server) {}

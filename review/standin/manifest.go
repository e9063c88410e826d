package main

import (
	"encoding/json"
	"net/http"
)

const (
	hostName     = "carol.example"
	tenantName   = "huka270"
	tenantKey    = "i9n73hh2b9wu3fexd9dn"
	bookingPath  = "/seat-book/"
	lookPath     = "/seat-look/"
	planPath     = "/pew-plan/"
	planTimeout  = 5000
	plainTimeout = 5000
)

// route returns a route with the figures of the small site file.
func route(name, prefix, kind, service string, timeoutMs, sloMs, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "sloMs": sloMs, "priority": 1,
		"service": service, "attempts": attempts, "anonymous": false, "sticky": kind == "streaming", "resumable": kind == "streaming",
		"gapAimMs": 400, "allowedRegions": []string{},
	}
}

// putManifest sends the manifest to the control hosts until one acknowledges it.
func (d *deployment) putManifest(routes ...map[string]any) error {
	m := map[string]any{
		"version": d.version, "routes": routes,
		"services": []map[string]any{
			{"name": "box-office", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false, "warmupS": 0, "coldPerS": 0},
			{"name": "trefoil-pool", "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false, "warmupS": 0, "coldPerS": 0,
				"engine": map[string]any{"slots": 64, "kvCapacityTokens": 242370, "kvTokenBytes": 327680, "linkMbps": 370000.0, "stride": 4, "models": []map[string]string{{"name": "m"}}}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": tenantName, "apiKeys": []string{tenantKey}, "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 0, "burst": 0, "allowedRegions": []string{}}},
	}
	d.version++
	b, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return d.order(0, http.MethodPost, "/Config.Put", string(b))
}

// clientHeader returns the headers of a client's request.
func clientHeader(id, deadlineMs string) map[string]string {
	return map[string]string{"X-Request-Id": id, "X-Deadline-Ms": deadlineMs, "Authorization": "Bearer " + tenantKey}
}

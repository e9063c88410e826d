package cataloger

import (
	"errors"
	"fmt"
	"math"
	"net"
	"net/netip"
	"strconv"
	"unicode/utf8"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// Bounds of the fields of reports.
const (
	// MaxNameLength bounds the name, pool and software of an upstream, in bytes.
	MaxNameLength = 256
	// MaxSlots is the largest number of requests that an upstream may run at once, as it says.
	MaxSlots = 1 << 16
)

// ErrUnusable is wrapped by the errors for reports with a field out of range.
var ErrUnusable = errors.New("cataloger: unusable report")

// FieldError names the first field of a report that is out of range.
type FieldError struct{ Field, Problem string }

// Error returns the field and what is wrong with it.
func (e *FieldError) Error() string { return fmt.Sprintf("field %s: %s", e.Field, e.Problem) }

// Unwrap returns ErrUnusable.
func (e *FieldError) Unwrap() error { return ErrUnusable }

// CheckReport returns a *FieldError if hosts cannot use a report of an upstream, also one that another
// host has passed on. Fields may be missing, as in what an upstream says of its end.
func CheckReport(a *schema.Announcement) *FieldError {
	switch {
	case !IsName(a.Name) || a.Name == "":
		return &FieldError{"name", "is empty, too long or not UTF-8"}
	case !IsName(a.Pool):
		return &FieldError{"pool", "is too long or not UTF-8"}
	case !IsName(a.Domain) || !IsName(a.Region):
		return &FieldError{"domain", "is too long or not UTF-8"}
	case !IsName(a.Software):
		return &FieldError{"software", "is too long or not UTF-8"}
	case !IsName(a.Address) || isOutOfRange(a.Address):
		return &FieldError{"address", "is not the address and port of a host"}
	case a.Slots < 0 || a.Slots > MaxSlots:
		return &FieldError{"slots", "is out of range"}
	case a.Running < 0 || a.Waiting < 0 || a.Running > math.MaxInt32-a.Waiting:
		return &FieldError{"running", "is out of range"}
	case a.Age < 0:
		return &FieldError{"age", "is out of range"}
	}
	for _, x := range []struct {
		field string
		value float64
	}{
		{"age", a.Age}, {"cold", a.Cold}, {"left", a.Left}, {"lease", a.Lease}, {"since", a.GetSince()}, {"broken", a.GetBroken()},
	} {
		if !(math.Abs(x.value) <= timer.MaxSeconds) { // NaN is in no range
			return &FieldError{x.field, "is out of range"}
		}
	}
	return nil
}

// IsName reports whether s can be sent between hosts as a name.
func IsName(s string) bool { return len(s) <= MaxNameLength && utf8.ValidString(s) }

// IsAddress reports whether s is an IP address, not one of several hosts, and a port at which a process can
// listen.
func IsAddress(s string) bool {
	x, err := netip.ParseAddrPort(s)
	return err == nil && x.Port() != 0 && !isOutOfRange(s)
}

// isOutOfRange reports whether s has a port out of range, or the IP address of no host or of several.
// Whether it can be dialed otherwise is found out when it is.
func isOutOfRange(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return false
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return true
	}
	ip, err := netip.ParseAddr(host)
	if err != nil {
		return false
	}
	zoned := ip.Zone() != ""
	ip = ip.Unmap()
	return zoned || ip.IsUnspecified() || ip.IsMulticast()
}

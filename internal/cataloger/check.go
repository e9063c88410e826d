package cataloger

import (
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// Bounds of the fields of reports.
const (
	// MaxNameLength bounds the name, pool and software of an upstream, in bytes.
	MaxNameLength = 256
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
	case !IsName(a.Address):
		return &FieldError{"address", "is too long or not UTF-8"}
	}
	return nil
}

// IsName reports whether s can be sent between hosts as a name.
func IsName(s string) bool { return len(s) <= MaxNameLength && utf8.ValidString(s) }

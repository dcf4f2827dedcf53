package platformclient

import (
	"net"
	"net/url"

	"github.com/cockroachdb/errors"
)

// dialFailed reports whether no connection was made, so that the request certainly had no effect.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// withoutURL removes the URL from an error of net/http.
func withoutURL(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}

package backend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// earlyResetDelay is the time between the response of EarlyReset and the reset.
const earlyResetDelay = 50 * time.Millisecond

// maxWholeBodyBytes is the size up to which EarlyReset reads the body of a request before it responds, so that its run can be checked.
// Such a body has been written when the response arrives in any case.
const maxWholeBodyBytes = 64 << 10

// serveEarlyReset responds before the body of the request was read, unless it is small.
func (u *Upstream) serveEarlyReset(c net.Conn, r *http.Request) {
	var body []byte
	if r.ContentLength <= maxWholeBodyBytes {
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			return
		}
	}
	u.recordRun(r, string(body))
	defer u.finishRun()
	_, _ = io.WriteString(c, u.responseHead("200 OK", r, "X-Jackdawbay-Server-Stamp: "+u.ID+"\r\n")+"part") // The connection ends in any case.
	time.Sleep(earlyResetDelay)
	resetConn(c)
}

// serveUndefinedStatus sends a response whose status code is undefined and whose body looks like a response.
func (u *Upstream) serveUndefinedStatus(c net.Conn, r *http.Request, stamp string) {
	body := u.responseHead("200 OK", r, stamp+"Content-Length: 4\r\n") + "none"
	_, _ = io.WriteString(c, u.responseHead("000 None", r, fmt.Sprintf("%sContent-Length: %d\r\n", stamp, len(body)))+body) // The connection ends in any case.
}

// serveInvalidHeaderName sends a response with a blank in the name of the header that frames its body.
func (u *Upstream) serveInvalidHeaderName(c net.Conn, r *http.Request, stamp string) {
	body := ResponseBody(r.Header.Get("X-Jackdawbay-Request-Id"))
	framed := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	_, _ = io.WriteString(c, u.responseHead("200 OK", r, stamp+"Transfer-Encoding : chunked\r\n")+framed) // The connection ends in any case.
}

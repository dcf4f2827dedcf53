package backend

import (
	"io"
	"net"
	"net/http"
	"time"
)

// earlyResetDelay is the time between the response of EarlyReset and the reset.
const earlyResetDelay = 50 * time.Millisecond

// serveEarlyReset responds before the body of the request was read.
func (u *Upstream) serveEarlyReset(c net.Conn, r *http.Request) {
	u.recordRun(r, "")
	defer u.finishRun()
	_, _ = io.WriteString(c, u.responseHead("200 OK", r, "X-Jackdawbay-Server-Stamp: "+u.ID+"\r\n")+"part") // The connection ends in any case.
	time.Sleep(earlyResetDelay)
	resetConn(c)
}

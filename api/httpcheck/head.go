package httpcheck

import (
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalidResponse marks the error of bytes that are not an HTTP/1 response. The request may have been executed.
var ErrInvalidResponse = errors.New("invalid HTTP response")

// part is the part of a response head that the next byte belongs to.
type part int

const (
	inVersion part = iota // "HTTP/1." and one digit.
	inStatus              // A blank and three digits.
	afterStatus
	inReason
	atLineStart // Start of a header line, or of the empty line that ends the head.
	inName
	inValue
	atLineFeed     // The line feed of the status line or a header line, after a carriage return.
	atLastLineFeed // The line feed of the empty line, after a carriage return.
	ended
)

// versionPrefix is the start of every HTTP/1 response.
const versionPrefix = "HTTP/1."

// Status codes (RFC 9110, section 15). Three digits may also form numbers that are no status code.
const (
	minStatus          = 100
	minFinalStatus     = 200
	maxStatus          = 599
	switchingProtocols = 101
)

// Names of the headers that frame a body.
const (
	nameTransferEncoding = "transfer-encoding"
	nameContentLength    = "content-length"
)

// head checks a response head byte by byte, so that an invalid one is found before its end, which may never come. The zero value
// expects the first byte.
type head struct {
	part         part
	bytesOfPart  int
	minorVersion byte
	status       int

	name                [len(nameTransferEncoding)]byte // Start of the name of the current header, in lower case.
	hasTransferEncoding bool
	hasContentLength    bool
}

// isFinal reports whether the head has ended and is not that of an interim response.
func (h *head) isFinal() bool { return h.part == ended && h.status >= minFinalStatus }

// next checks one byte.
func (h *head) next(b byte) error {
	switch h.part {
	case inVersion:
		return h.nextOfVersion(b)
	case inStatus:
		return h.nextOfStatus(b)
	case afterStatus:
		if b == ' ' {
			h.enter(inReason)
			return nil
		}
		return h.endLine(b, "status line")
	case inReason:
		if isText(b) {
			return nil
		}
		return h.endLine(b, "status line")
	case atLineStart:
		return h.startLine(b)
	case inName:
		return h.nextOfName(b)
	case inValue:
		if isText(b) {
			return nil
		}
		return h.endLine(b, "header value")
	case atLineFeed:
		if b != '\n' {
			return invalid("carriage return inside a line")
		}
		h.enter(atLineStart)
		return nil
	default:
		if b != '\n' {
			return invalid("carriage return inside a line")
		}
		return h.end()
	}
}

func (h *head) enter(p part) { h.part, h.bytesOfPart = p, 0 }

func (h *head) nextOfVersion(b byte) error {
	if h.bytesOfPart < len(versionPrefix) {
		if b != versionPrefix[h.bytesOfPart] {
			return invalid("no HTTP/1 status line")
		}
		h.bytesOfPart++
		return nil
	}
	if !isDigit(b) {
		return invalid("no HTTP/1 status line")
	}
	h.minorVersion = b - '0'
	h.enter(inStatus)
	return nil
}

func (h *head) nextOfStatus(b byte) error {
	h.bytesOfPart++
	if h.bytesOfPart == 1 {
		if b != ' ' {
			return invalid("no blank before the status code")
		}
		return nil
	}
	if !isDigit(b) {
		return invalid("status code is not a number of three digits")
	}
	h.status = 10*h.status + int(b-'0')
	if h.bytesOfPart < len(" 200") {
		return nil
	}
	if h.status < minStatus || h.status > maxStatus {
		return invalid("status code is undefined")
	}
	if h.status == switchingProtocols {
		return invalid("switch of protocols that was not requested")
	}
	h.enter(afterStatus)
	return nil
}

// endLine checks the end of a line. A line may end with a line feed alone (RFC 9112, section 2.2).
func (h *head) endLine(b byte, where string) error {
	switch b {
	case '\r':
		h.enter(atLineFeed)
	case '\n':
		h.enter(atLineStart)
	default:
		return invalid("invalid byte in a " + where)
	}
	return nil
}

func (h *head) startLine(b byte) error {
	switch b {
	case '\r':
		h.enter(atLastLineFeed)
		return nil
	case '\n':
		return h.end()
	}
	h.enter(inName)
	return h.nextOfName(b)
}

func (h *head) nextOfName(b byte) error {
	switch {
	case b == ':' && h.bytesOfPart > 0:
		h.recordName()
		h.enter(inValue)
		return nil
	case !isToken(b): // Includes the blank that continues the previous line, an obsolete form.
		return invalid("invalid byte in a header name")
	}
	if h.bytesOfPart < len(h.name) {
		h.name[h.bytesOfPart] = b | ('a' - 'A') // Other characters of the two names do not change.
	}
	h.bytesOfPart++
	return nil
}

func (h *head) recordName() {
	if h.bytesOfPart > len(h.name) {
		return
	}
	switch string(h.name[:h.bytesOfPart]) {
	case nameTransferEncoding:
		h.hasTransferEncoding = true
	case nameContentLength:
		h.hasContentLength = true
	}
}

// end checks the framing of the body. HTTP/1.0 has no transfer encodings, and with both headers the end of the body depends on the
// reader (RFC 9112, sections 6.1 and 6.3).
func (h *head) end() error {
	switch {
	case h.hasTransferEncoding && h.minorVersion == 0:
		return invalid("HTTP/1.0 response with a transfer encoding")
	case h.hasTransferEncoding && h.hasContentLength:
		return invalid("both a transfer encoding and a content length")
	}
	h.enter(ended)
	return nil
}

func invalid(reason string) error { return errors.Wrap(ErrInvalidResponse, reason) }

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// isText reports whether a byte may stand in a reason phrase or a header value.
func isText(b byte) bool { return b >= ' ' && b != 0x7f || b == '\t' }

// isToken reports whether a byte may stand in a header name.
func isToken(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || isDigit(b) || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

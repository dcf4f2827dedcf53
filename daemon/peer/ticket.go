package peer

import "strings"

// TicketID returns the id of a ticket for an engine slot. The id contains the incarnation of the requester and the attempt,
// so that a dispatcher can find the tickets of a failed daemon.
func TicketID(incarnation, attempt string) string { return incarnation + "/" + attempt }

// SplitTicket returns the incarnation and the attempt of a ticket.
func SplitTicket(ticket string) (incarnation, attempt string) {
	incarnation, attempt, _ = strings.Cut(ticket, "/")
	return incarnation, attempt
}

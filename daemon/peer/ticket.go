package peer

import "strings"

// TicketID returns the id of a ticket for an engine slot. It names the incarnation that asks and the attempt, so that a
// dispatcher knows what a lost daemon has left behind.
func TicketID(incarnation, attempt string) string { return incarnation + "/" + attempt }

// SplitTicket returns the incarnation and the attempt of a ticket.
func SplitTicket(ticket string) (incarnation, attempt string) {
	incarnation, attempt, _ = strings.Cut(ticket, "/")
	return incarnation, attempt
}

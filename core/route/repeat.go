package route

// Outcome is the result of sending a request to an upstream.
type Outcome string

// Outcomes of one send.
const (
	NotSent             Outcome = "not_sent"     // No byte of the request was sent.
	Rejected            Outcome = "rejected"     // The upstream reported that it did not run the request.
	ResponseComplete    Outcome = "complete"     // A complete response was received.
	ResponseMissing     Outcome = "lost"         // The connection was lost before the response status arrived; the request may have run.
	ResponseInvalid     Outcome = "spoiled"      // The response was malformed, or was truncated before any of it reached the caller.
	ResponseInterrupted Outcome = "interrupted"  // The response was truncated after a part of it had reached the caller.
	UpstreamError       Outcome = "upstream_err" // The upstream ran the request and returned an error.
)

// Action is the next step for a request after a send.
type Action string

// Actions after a send.
const (
	DeliverResponse Action = "deliver"    // Forward the response to the caller.
	ResendRequest   Action = "send_again" // Send the request to an upstream again.
	ResumeStream    Action = "resume"     // Continue the stream after its last event.
	RejectRequest   Action = "refuse"     // Respond that the request has not run.
	FailRequest     Action = "fail"       // Respond with an error that leaves open whether the request has run.
)

// NextAction returns the action after a send. The argument canRetry states whether another send is possible: the deadline
// and the route's limit of upstreams permit it, and an upstream is available.
func NextAction(r *Route, outcome Outcome, canRetry bool) Action {
	switch outcome {
	case ResponseComplete, UpstreamError:
		return DeliverResponse
	case NotSent, Rejected:
		if canRetry {
			return ResendRequest
		}
		return RejectRequest
	case ResponseInterrupted:
		if canRetry && r.Kind == Stream && r.Resumable {
			return ResumeStream
		}
		return FailRequest
	default:
		if canRetry && r.IsRepeatable() {
			return ResendRequest
		}
		return FailRequest
	}
}

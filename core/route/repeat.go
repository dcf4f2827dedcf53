package route

// Outcome is what is known about a request after it was given to an upstream.
type Outcome string

// Outcomes of one send.
const (
	NotSent             Outcome = "not_sent"     // No byte of the request left this daemon.
	Rejected            Outcome = "rejected"     // The upstream stated that it did not run the request.
	ResponseComplete    Outcome = "complete"     // A whole response arrived.
	ResponseMissing     Outcome = "lost"         // The response was lost before its status; the request may have run.
	ResponseInvalid     Outcome = "spoiled"      // The response was no response, or was cut before any of it reached the caller.
	ResponseInterrupted Outcome = "interrupted"  // The response was cut after a part of it had reached the caller.
	UpstreamError       Outcome = "upstream_err" // The upstream answered with a failure of its own after running the request.
)

// Action is what happens next with a request.
type Action string

// Actions after a send.
const (
	DeliverResponse Action = "deliver"    // Pass the response on.
	ResendRequest   Action = "send_again" // Send the request to an upstream once more.
	ResumeStream    Action = "resume"     // Continue the stream after its last event.
	RejectRequest   Action = "refuse"     // Answer that the request has not run.
	FailRequest     Action = "fail"       // Answer with a status that promises nothing.
)

// Next returns what happens after a send. May says that time, the route's bound of upstreams and a ready upstream allow
// one more send.
func NextAction(r *Route, o Outcome, may bool) Action {
	switch o {
	case ResponseComplete, UpstreamError:
		return DeliverResponse
	case NotSent, Rejected:
		if may {
			return ResendRequest
		}
		return RejectRequest
	case ResponseInterrupted:
		if may && r.Kind == Stream && r.Resumable {
			return ResumeStream
		}
		return FailRequest
	default:
		if may && r.IsRepeatable() {
			return ResendRequest
		}
		return FailRequest
	}
}

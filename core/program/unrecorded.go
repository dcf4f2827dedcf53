package program

import "jackdawbay.dev/api/caller"

// UnrecordedResult builds the result of a finished call that no owner could record. The caller returns the turn and the
// receipt to an owner in the window of its next call.
func UnrecordedResult(signer *Signer, a Admission, c Completion) (*caller.Result, error) {
	digest, err := caller.NextDigest(a.Digest, c.Turn)
	if err != nil {
		return nil, err
	}
	r := a.ReceiptBefore
	r.Sequence, r.Digest = c.Turn.Sequence, digest
	r.SpentTokens = a.SpentTokens + c.Turn.Usage.Total()
	if c.Turn.Kind == caller.CallModel {
		r.PromptTokens = c.Turn.Usage.Total()
		r.Engine = c.Engine
	}
	return &caller.Result{
		Turn:            c.Turn,
		Digest:          digest,
		DurableSequence: a.DurableSequence,
		Receipt:         signer.Sign(r),
	}, nil
}

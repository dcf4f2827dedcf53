package program

import "jackdawbay.dev/api/caller"

// Detached builds the result of a finished call when no owner could record it. The caller sends the turn back in the
// window of its next call, together with the receipt.
func UnrecordedResult(s *Signer, a Admission, c Completion) (*caller.Result, error) {
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
		Receipt:         s.Sign(r),
	}, nil
}

package load

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
)

func asKind(err error, into **errkind.Error) bool { return errors.As(err, into) }

// checkModel reports whether a result answers the request of the step and repeats the text that was streamed.
func checkModel(step Step, streamed string, complete bool, r caller.Result) error {
	t := r.Turn
	switch {
	case t.CallKey != step.Key:
		return errors.Newf("result has call key %q, not %q", t.CallKey, step.Key)
	case t.Kind != caller.CallModel || t.Model == nil || t.Message == nil:
		return errors.New("result of a model call lacks its request or its message")
	case len(t.Model.Messages) != 1 || string(t.Model.Messages[0].Content) != step.Prompt:
		return errors.New("result holds the messages of another request")
	case complete && !r.Repeated && string(t.Message.Content) != streamed:
		return errors.Newf("result has %d bytes of text, the stream had %d", len(t.Message.Content), len(streamed))
	}
	return nil
}

// serviceEcho is what the stand-in services put into their answers. Other services may leave it out.
type serviceEcho struct {
	Path        string `json:"path"`
	BusinessKey string `json:"business_key"`
	Run         int    `json:"run"`
}

// checkService reports whether a result answers the request of the step, and whether an order ran more than once.
func checkService(step Step, r caller.Result) error {
	t := r.Turn
	switch {
	case t.CallKey != step.Key:
		return errors.Newf("result has call key %q, not %q", t.CallKey, step.Key)
	case t.Kind != caller.CallService || t.Service == nil || t.Response == nil:
		return errors.New("result of a service call lacks its request or its response")
	case t.Service.Path != step.Path:
		return errors.Newf("result is for path %q, not %q", t.Service.Path, step.Path)
	}
	var echo serviceEcho
	if err := json.Unmarshal(t.Response.Body, &echo); err != nil {
		return errors.Wrap(err, "response of the service is not a JSON object")
	}
	switch {
	case echo.Path != "" && echo.Path != step.Path:
		return errors.Newf("service answered for path %q, not %q", echo.Path, step.Path)
	case echo.BusinessKey != "" && echo.BusinessKey != step.BusinessKey:
		return errors.Newf("service answered for business key %q, not %q", echo.BusinessKey, step.BusinessKey)
	case echo.Run > 1:
		return errors.Newf("order %q ran %d times", step.BusinessKey, echo.Run)
	}
	return nil
}

// checkHistory reports whether the turns are exactly the calls that were answered, in order, and lead to the digest.
func checkHistory(programID string, keys []string, digest string, turns []caller.Turn) error {
	if len(turns) != len(keys) {
		return errors.Newf("history has %d turns, %d calls were answered", len(turns), len(keys))
	}
	chain := caller.InitialDigest(programID)
	for i, t := range turns {
		if t.Sequence != uint64(i+1) || t.CallKey != keys[i] {
			return errors.Newf("turn %d has sequence %d and call key %q, not %q", i+1, t.Sequence, t.CallKey, keys[i])
		}
		next, err := caller.NextDigest(chain, t)
		if err != nil {
			return err
		}
		chain = next
	}
	if chain != digest {
		return fmt.Errorf("digest chain of the history leads to %.12s, not to %.12s", chain, digest)
	}
	return nil
}

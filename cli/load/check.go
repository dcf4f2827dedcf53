package load

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
)

func asErrkind(err error, dst **errkind.Error) bool { return errors.As(err, dst) }

// checkModelResult returns an error if r does not belong to the request of step. If fromStart is true, the result must
// also contain the streamed text.
func checkModelResult(step Step, streamed string, fromStart bool, r caller.Result) error {
	t := r.Turn
	switch {
	case t.CallKey != step.Key:
		return errors.Newf("result has call key %q, not %q", t.CallKey, step.Key)
	case t.Kind != caller.CallModel || t.Model == nil || t.Message == nil:
		return errors.New("result of a model call has no request or no message")
	case len(t.Model.Messages) != 1 || string(t.Model.Messages[0].Content) != step.Prompt:
		return errors.New("result contains the messages of another request")
	case fromStart && !r.Repeated && string(t.Message.Content) != streamed:
		return errors.Newf("result has %d bytes of text, the stream had %d", len(t.Message.Content), len(streamed))
	}
	return nil
}

// serviceEcho contains the fields that the stand-in services add to their responses. Other services may omit them.
type serviceEcho struct {
	Path        string `json:"path"`
	BusinessKey string `json:"business_key"`
	Run         int    `json:"run"`
}

// checkServiceResult returns an error if r does not belong to the request of step, or if an order ran more than once.
func checkServiceResult(step Step, r caller.Result) error {
	t := r.Turn
	switch {
	case t.CallKey != step.Key:
		return errors.Newf("result has call key %q, not %q", t.CallKey, step.Key)
	case t.Kind != caller.CallService || t.Service == nil || t.Response == nil:
		return errors.New("result of a service call has no request or no response")
	case t.Service.Path != step.Path:
		return errors.Newf("result is for path %q, not %q", t.Service.Path, step.Path)
	}
	var echo serviceEcho
	if err := json.Unmarshal(t.Response.Body, &echo); err != nil {
		return errors.Wrap(err, "response of the service is not a JSON object")
	}
	switch {
	case echo.Path != "" && echo.Path != step.Path:
		return errors.Newf("service response is for path %q, not %q", echo.Path, step.Path)
	case echo.BusinessKey != "" && echo.BusinessKey != step.BusinessKey:
		return errors.Newf("service response is for business key %q, not %q", echo.BusinessKey, step.BusinessKey)
	case echo.Run > 1:
		return errors.Newf("order %q ran %d times", step.BusinessKey, echo.Run)
	}
	return nil
}

// checkHistory returns an error if turns are not exactly the calls with the given keys in order, or if their digest is
// not the given one.
func checkHistory(programID string, keys []string, digest string, turns []caller.Turn) error {
	if len(turns) != len(keys) {
		return errors.Newf("history has %d turns, %d calls were completed", len(turns), len(keys))
	}
	computed := caller.InitialDigest(programID)
	for i, t := range turns {
		if t.Sequence != uint64(i+1) || t.CallKey != keys[i] {
			return errors.Newf("turn %d has sequence %d and call key %q, not %q", i+1, t.Sequence, t.CallKey, keys[i])
		}
		next, err := caller.NextDigest(computed, t)
		if err != nil {
			return err
		}
		computed = next
	}
	if computed != digest {
		return fmt.Errorf("digest of the history is %.12s, not %.12s", computed, digest)
	}
	return nil
}

package program

import (
	"encoding/json"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
)

// validateCall checks the properties of a call on which the state machine relies. Without the check, a call of kind
// "model" without a model body would crash the daemon, and a negative or huge max_tokens would bypass the budget.
func validateCall(c caller.Call) error {
	switch {
	case c.CallKey == "":
		return errkind.New(errkind.InvalidValue, "Field call_key is empty.")
	case c.Kind == caller.CallModel:
		return validateModel(c)
	case c.Kind == caller.CallService:
		return validateService(c)
	default:
		return errkind.Newf(errkind.InvalidValue, "Field kind %q is not a kind of call.", string(c.Kind))
	}
}

func validateModel(c caller.Call) error {
	if c.Model == nil || c.Service != nil {
		return errkind.New(errkind.InvalidValue, "A call of kind model has field model and no field service.")
	}
	if c.Model.MaxTokens < 0 || c.Model.MaxTokens >= maxCallTokens {
		return errkind.New(errkind.InvalidValue, "Field max_tokens is out of range.")
	}
	return nil
}

func validateService(c caller.Call) error {
	if c.Service == nil || c.Model != nil {
		return errkind.New(errkind.InvalidValue, "A call of kind service has field service and no field model.")
	}
	if len(c.Service.Body) > 0 && !json.Valid(c.Service.Body) {
		return errkind.New(errkind.InvalidValue, "Field body of the service call is not JSON.")
	}
	return nil
}

// validateTurn checks that a reported turn belongs to the call for which it is reported.
func validateTurn(c caller.Call, t caller.Turn) error {
	if t.Sequence != c.Sequence || t.CallKey != c.CallKey || t.Kind != c.Kind || turnRequestHash(t) != requestHash(c) {
		return errkind.New(errkind.InvalidValue, "The turn does not belong to the call.")
	}
	if t.Kind == caller.CallModel && t.Message == nil {
		return errkind.New(errkind.InvalidValue, "The turn has no message.")
	}
	if t.Usage.PromptTokens < 0 || t.Usage.CompletionTokens < 0 {
		return errkind.New(errkind.InvalidValue, "The usage of the turn is negative.")
	}
	return nil
}

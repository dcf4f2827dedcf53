package program

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"

	"jackdawbay.dev/api/errkind"
)

// Receipt contains the limits and the progress of a program. It is signed, so that any daemon can verify a receipt that a
// caller presents.
type Receipt struct {
	Program               string `json:"program"`
	Tenant                string `json:"tenant"`
	Class                 string `json:"class,omitempty"`
	Model                 string `json:"model,omitempty"`
	Parent                string `json:"parent,omitempty"`
	BudgetTokens          int64  `json:"budget"`
	MaxTurns              int    `json:"max_turns"`
	ExpiryMillis          int64  `json:"expiry_ms"`
	Sequence              uint64 `json:"seq"`
	Digest                string `json:"digest"`
	SpentTokens           int64  `json:"spent"`
	FirstUnaccountedEpoch uint64 `json:"base"`             // SpentTokens includes the attempts of all owners before this epoch.
	PromptTokens          int64  `json:"prompt,omitempty"` // Tokens of the history in the next prompt; used by the dispatcher.
	Engine                string `json:"engine,omitempty"` // Engine of the newest model call; used by the dispatcher.
	LastActiveMillis      int64  `json:"at_ms"`            // Last activity of the program, in Unix milliseconds.
}

// Signer signs and verifies receipts. It signs with the first key and accepts signatures of all keys, so that keys can
// be rotated.
type Signer struct {
	keys [][]byte
}

// NewSigner returns a signer with the given keys. At least one key is required.
func NewSigner(keys ...[]byte) *Signer { return &Signer{keys: keys} }

func mac(key []byte, body string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte("jackdawbay receipt "))
	h.Write([]byte(body))
	return h.Sum(nil)
}

// Sign encodes and signs a receipt.
func (s *Signer) Sign(r Receipt) string {
	// A struct of strings and numbers can always be encoded.
	body, _ := json.Marshal(r)
	text := base64.RawURLEncoding.EncodeToString(body)
	return text + "." + base64.RawURLEncoding.EncodeToString(mac(s.keys[0], text))
}

// Verify decodes a receipt and checks its signature. It returns InvalidValue if the receipt is malformed or none of the
// keys signed it.
func (s *Signer) Verify(text string) (Receipt, error) {
	body, signature, ok := strings.Cut(text, ".")
	if !ok {
		return Receipt{}, errkind.New(errkind.InvalidValue, "Field receipt is not a receipt.")
	}
	receivedMAC, err := base64.RawURLEncoding.DecodeString(signature)
	if err != nil {
		return Receipt{}, errkind.New(errkind.InvalidValue, "Field receipt is not a receipt.")
	}
	for _, key := range s.keys {
		if hmac.Equal(receivedMAC, mac(key, body)) {
			return decodeReceipt(body)
		}
	}
	return Receipt{}, errkind.New(errkind.InvalidValue, "Field receipt has no valid signature.")
}

func decodeReceipt(body string) (Receipt, error) {
	raw, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil {
		return Receipt{}, errkind.New(errkind.InvalidValue, "Field receipt is not a receipt.")
	}
	var r Receipt
	if err := json.Unmarshal(raw, &r); err != nil {
		return Receipt{}, errkind.New(errkind.InvalidValue, "Field receipt is not a receipt.")
	}
	return r, nil
}

package placement

import "time"

// maxParts bounds the parts that are remembered for one upstream. The least recently used ones are forgotten.
const maxParts = 2048

// partSet remembers which parts of prompts an engine has read. A part counts only behind the parts before it, so it is
// named by the hash of its whole prefix.
type partSet struct {
	used map[uint64]time.Time
}

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

func extend(h uint64, id string) uint64 {
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * fnvPrime
	}
	return (h ^ ',') * fnvPrime
}

// prefixes appends the hash of each prefix of a prompt.
func prefixes(hashes []uint64, parts []PromptPart) []uint64 {
	h := uint64(fnvOffset)
	for _, p := range parts {
		h = extend(h, p.ID)
		hashes = append(hashes, h)
	}
	return hashes
}

// missing is the number of tokens behind the longest known prefix. The longest one is looked up first, as most prompts
// continue one that the engine has read.
func (s *partSet) missing(parts []PromptPart, hashes []uint64) int64 {
	var missing int64
	for i := len(parts) - 1; i >= 0; i-- {
		if _, ok := s.used[hashes[i]]; ok {
			break
		}
		missing += parts[i].Tokens
	}
	return missing
}

func (s *partSet) add(now time.Time, parts []PromptPart) {
	if s.used == nil {
		s.used = map[uint64]time.Time{}
	}
	for _, h := range prefixes(nil, parts) {
		s.used[h] = now
	}
	if len(s.used) > maxParts {
		s.forget(now)
	}
}

// forget drops the older half, by bisecting the age.
func (s *partSet) forget(now time.Time) {
	var oldest time.Duration
	for _, at := range s.used {
		oldest = max(oldest, now.Sub(at))
	}
	for limit := oldest / 2; len(s.used) > maxParts/2 && limit > time.Millisecond; limit /= 2 {
		for h, at := range s.used {
			if now.Sub(at) > limit {
				delete(s.used, h)
			}
		}
	}
}

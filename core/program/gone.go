package program

// Gone returns those of the ids whose shard is open here and that are no running programs. Engines need not keep memory
// for them. A program whose shard is not open here is never reported.
func (o *Owner) NotRunning(ids []string) []string {
	var gone []string
	for _, id := range ids {
		if !o.Owns(id) {
			continue
		}
		if p, ok := o.programs[id]; !ok || p.ended != "" {
			gone = append(gone, id)
		}
	}
	return gone
}

package program

// NotRunning returns those ids whose shard is open here and that do not belong to a running program. Engines can
// release their caches. Ids whose shard is not open here are never returned.
func (o *Owner) NotRunning(ids []string) []string {
	var notRunning []string
	for _, id := range ids {
		if !o.Owns(id) {
			continue
		}
		if p, ok := o.programs[id]; !ok || p.endReason != "" {
			notRunning = append(notRunning, id)
		}
	}
	return notRunning
}

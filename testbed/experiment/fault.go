package experiment

// faultStartRatio is the share of the arrival time after which a fault begins.
const faultStartRatio = 0.5

func (sim *simulation) scheduleFault() {
	faultStart := sim.run.ArrivalSeconds * faultStartRatio
	switch sim.run.Fault {
	case EngineFailure:
		sim.clock.after(faultStart, func() { sim.failEngine(sim.engines[0]) })
	case SitePartition:
		sim.clock.after(faultStart, func() { sim.isolateSite(len(sim.run.Deployment.Sites) - 1) })
		sim.clock.after(faultStart+partitionSeconds, func() { sim.isolateSite(-1) })
	}
}

// failEngine stops an engine permanently. Its calls are idempotent and run again on other engines.
func (sim *simulation) failEngine(e *engine) {
	e.failed = true
	sim.policy.enginesChanged()
	sim.abortCalls(func(c *call) bool { return c.engine == e })
}

// isolateSite separates a site from all others; -1 reconnects it. Calls between the site and the others are aborted.
func (sim *simulation) isolateSite(site int) {
	sim.isolatedSite = site
	sim.policy.enginesChanged()
	sim.abortCalls(func(c *call) bool { return !sim.isSiteReachable(c.program.script.home, c.engine.site) })
}

func (sim *simulation) abortCalls(match func(*call) bool) {
	for _, e := range sim.engines {
		for _, c := range e.abortCalls(match) {
			sim.resubmitLostCall(c)
		}
	}
	// Aborts calls on the network in a fixed order, so that runs are reproducible.
	for _, c := range sortedCalls(sim.inFlight) {
		if match(c) {
			sim.resubmitLostCall(c)
		}
	}
}

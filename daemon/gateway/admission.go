package gateway

// managesOverload reports whether the settings or the configuration in force ask for the management of overload.
func (g *Gateway) managesOverload() bool { return g.cfg.ManageOverload }

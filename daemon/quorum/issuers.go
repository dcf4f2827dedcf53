package quorum

import core "jackdawbay.dev/core/replica"

// ViewOf returns the view of the group to which a name hashes. Its version is zero before the gateway has adopted one.
func (g *Groups) ViewOf(name string) core.View { return g.client(name).View() }

// Views returns the views of all groups.
func (g *Groups) Views() []core.View {
	clients := g.all()
	views := make([]core.View, len(clients))
	for i, c := range clients {
		views[i] = c.View()
	}
	return views
}

package platform

// Kinds of the objects that the system stores on the platform.
const (
	KindConfig               = "config"      // Records, named <Kind>.<name>.
	KindRoster               = "roster"      // One for each data centre.
	KindCoordinatorHeartbeat = "lead"        // One for each data centre.
	KindStatus               = "status"      // One for each data centre.
	KindJournal              = "journal"     // Segments, named <incarnation>.<slot>.
	KindCheckpoint           = "checkpoint"  // Segments, named <checkpoint id>.<slot>.
	KindTenantGrant          = "tenantgrant" // Tokens granted, named <data centre>.<tenant>.
)

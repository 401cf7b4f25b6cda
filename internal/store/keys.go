package store

import (
	"fmt"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Row keys and their prefixes.
const (
	SessionPrefix = "session/"
	OwnerPrefix   = "owner/"
	TicketPrefix  = "ticket/"
	JobPrefix     = "job/"
	QueuePrefix   = "queue/"
	InboxPrefix   = "inbox/"
	ClaimPrefix   = "claim/"
	// ConfigVersionKey is the key of the row that identifies the ticket in force.
	ConfigVersionKey = "config/version"
	// WorkspacePrefix, ServicePrefix and EvacuatedPrefix are the prefixes of the
	// rows with the workspaces, services and evacuated failure domains in force.
	WorkspacePrefix = "config/workspace/"
	ServicePrefix   = "config/service/"
	EvacuatedPrefix = "config/evacuated/"
)

// SessionKey returns the row key of an incarnation's session.
func SessionKey(incarnation string) string {
	return SessionPrefix + incarnation
}

// OwnerKey returns the row key of a failure domain's owner record.
func OwnerKey(domain string) string {
	return OwnerPrefix + domain
}

// TicketKey returns the row key of a ticket. The keys sort by ticket number.
func TicketKey(number int64) string {
	return fmt.Sprintf("%s%012d", TicketPrefix, number)
}

// WorkspaceKey returns the row key of a workspace in force.
func WorkspaceKey(name string) string {
	return WorkspacePrefix + name
}

// ServiceKey returns the row key of a service in force.
func ServiceKey(k structs.ServiceKey) string {
	return ServicePrefix + k.Workspace + "/" + k.Name
}

// EvacuatedKey returns the row key of an evacuated failure domain in force.
func EvacuatedKey(domain string) string {
	return EvacuatedPrefix + domain
}

// JobKey returns the row key of a job.
func JobKey(k structs.JobKey) string {
	return JobPrefix + k.String()
}

// QueueKey returns the row key of the queue index entry of an unfinished job in
// a failure domain.
func QueueKey(domain string, k structs.JobKey) string {
	return QueueDomainPrefix(domain) + k.String()
}

// QueueDomainPrefix returns the key prefix of a failure domain's queue index.
func QueueDomainPrefix(domain string) string {
	return QueuePrefix + domain + "/"
}

// InboxDomainPrefix returns the key prefix of the submissions and cancellations
// that a failure domain's owner has yet to process.
func InboxDomainPrefix(domain string) string {
	return InboxPrefix + domain + "/"
}

// SubmissionKey returns the row key of the inbox entry for a new job.
func SubmissionKey(domain string, k structs.JobKey) string {
	return InboxDomainPrefix(domain) + "submit/" + k.String()
}

// CancellationKey returns the row key of the inbox entry that requests a job's
// cancellation.
func CancellationKey(domain string, k structs.JobKey) string {
	return InboxDomainPrefix(domain) + "cancel/" + k.String()
}

// ClaimKey returns the row key of the claim on a non-repeatable request.
func ClaimKey(k structs.RequestKey) string {
	return ClaimPrefix + k.Workspace + "/" + k.ID
}

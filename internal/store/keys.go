package store

import (
	"fmt"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Prefixes of the rows' keys.
const (
	SessionPrefix = "session/"
	OwnerPrefix   = "owner/"
	TicketPrefix  = "ticket/"
	JobPrefix     = "job/"
	QueuePrefix   = "queue/"
	InboxPrefix   = "inbox/"
	ClaimPrefix   = "claim/"
	// ConfigVersionKey is the row that names the ticket in force.
	ConfigVersionKey = "config/version"
	// WorkspacePrefix and ServicePrefix hold the objects in force.
	WorkspacePrefix = "config/workspace/"
	ServicePrefix   = "config/service/"
)

// SessionKey is the row of an incarnation's session.
func SessionKey(incarnation string) string {
	return SessionPrefix + incarnation
}

// OwnerKey is the row that names a failure domain's owner.
func OwnerKey(domain string) string {
	return OwnerPrefix + domain
}

// TicketKey is the row of a ticket; keys sort by number.
func TicketKey(number int64) string {
	return fmt.Sprintf("%s%012d", TicketPrefix, number)
}

// WorkspaceKey is the row of a workspace in force.
func WorkspaceKey(name string) string {
	return WorkspacePrefix + name
}

// ServiceKey is the row of a service in force.
func ServiceKey(k structs.ServiceKey) string {
	return ServicePrefix + k.Workspace + "/" + k.Name
}

// JobKey is the row of a job.
func JobKey(k structs.JobKey) string {
	return JobPrefix + k.String()
}

// QueueKey is the index row of a job that its failure domain's owner has yet
// to bring to an end.
func QueueKey(domain string, k structs.JobKey) string {
	return QueueDomainPrefix(domain) + k.String()
}

// QueueDomainPrefix is the prefix of a failure domain's index rows.
func QueueDomainPrefix(domain string) string {
	return QueuePrefix + domain + "/"
}

// InboxDomainPrefix is the prefix of what a failure domain's owner has yet to
// notice: submissions and cancellations.
func InboxDomainPrefix(domain string) string {
	return InboxPrefix + domain + "/"
}

// SubmissionKey is the inbox row of a new job.
func SubmissionKey(domain string, k structs.JobKey) string {
	return InboxDomainPrefix(domain) + "submit/" + k.String()
}

// CancellationKey is the inbox row that asks for a job's end.
func CancellationKey(domain string, k structs.JobKey) string {
	return InboxDomainPrefix(domain) + "cancel/" + k.String()
}

// ClaimKey is the row of a request that may not be repeated.
func ClaimKey(k structs.RequestKey) string {
	return ClaimPrefix + k.Workspace + "/" + k.ID
}

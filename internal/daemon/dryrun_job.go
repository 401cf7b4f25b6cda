package daemon

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/adapter/query"
	"github.com/lentilwinch/lentilwinch/internal/dryrun"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// serveJobDryRun answers where a job would be placed now, or redirects to the owner of the
// failure domain that it would be queued in. A redirected query isn't redirected again.
func (d *Daemon) serveJobDryRun(w http.ResponseWriter, r *http.Request) {
	var asked dryrun.Submission
	var answer dryrun.SubmissionAnswer
	owner := ""
	err := d.readQuery(w, r, &asked)
	if err == nil {
		answer, owner, err = d.explainJob(r.Context(), asked, r.URL.Query().Get(dryrun.DomainParameter))
	}
	if owner != "" {
		target := url.URL{Scheme: "http", Host: owner, Path: dryrun.SubmissionPath, RawQuery: url.Values{dryrun.DomainParameter: {answer.Domain}}.Encode()}
		http.Redirect(w, r, target.String(), http.StatusTemporaryRedirect)
		return
	}
	d.metrics.DryRun(string(answer.Verdict))
	d.log.Info("dry_run", zap.String("workspace", asked.Workspace), zap.String("job", asked.JobID), zap.String("domain", answer.Domain),
		zap.String("verdict", string(answer.Verdict)), zap.String("reason", answer.Reason), zap.Error(err))
	if err := query.Respond(w, &answer, err); err != nil {
		d.log.Info("dry_run_not_answered", zap.Error(err))
	}
}

// explainJob answers a query, or returns the address of the owner of the failure domain in
// the answer. chosen is the domain that an instance before has chosen, if any. It fails with
// fault.NotReady while the configuration in force or the owner isn't known, with
// fault.Invalid for a negative size, with fault.NotFound for an unknown workspace, and with
// the errors of gangs.Manager.Try.
func (d *Daemon) explainJob(ctx context.Context, asked dryrun.Submission, chosen string) (answer dryrun.SubmissionAnswer, owner string, err error) {
	if err := d.Admit(); err != nil {
		return answer, "", err
	}
	if asked.PayloadBytes < 0 {
		p := fault.Problem{Path: "payload_bytes", Value: strconv.FormatInt(asked.PayloadBytes, 10), Allowed: "0 or more"}
		return answer, "", fault.InvalidDocument("query is refused", []fault.Problem{p})
	}
	answer.Instance, answer.ConfigNumber = d.settings.InstanceID, d.config.Current().Number
	domain, err := d.jobs.Examine(specOf(asked), asked.PayloadBytes)
	if fault.Is(err, fault.Invalid) {
		answer.Verdict, answer.Refusal = dryrun.Refused, dryrun.NewFailure(err)
		return answer, "", nil
	}
	if err != nil {
		return answer, "", err
	}
	if chosen != "" {
		domain = chosen
	} else if _, owned := d.ownership.Grant(domain); !owned {
		answer.Domain = domain
		if owner = d.ownerAddress(domain); owner == "" {
			err = fault.New(fault.NotReady, "the owner of the failure domain "+domain+" isn't known")
		}
		return answer, owner, err
	}
	ctx, cancel := context.WithTimeout(ctx, dryRunTimeout)
	defer cancel()
	tried, err := d.gangs.Try(ctx, domain, specOf(asked))
	tried.Instance, tried.ConfigNumber = answer.Instance, answer.ConfigNumber
	return tried, "", err
}

// ownerAddress returns the address of the peer that owns a failure domain, or "".
func (d *Daemon) ownerAddress(domain string) string {
	for _, p := range d.mesh.Live() {
		for _, s := range p.Heartbeat.Domains {
			if s.Domain == domain {
				return p.Hello.Address
			}
		}
	}
	return ""
}

func specOf(s dryrun.Submission) structs.JobSpec {
	return structs.JobSpec{
		Key: structs.JobKey{Workspace: s.Workspace, ID: s.JobID}, Members: s.Members, Accelerators: s.Accelerators,
		Adjacency: structs.Adjacency(s.Adjacency), Class: structs.Class(s.Class), Preemptible: s.Preemptible,
		DeclaredRun: time.Duration(s.DeclaredRunMs) * time.Millisecond, Domain: s.Domain, Service: s.Service,
	}
}

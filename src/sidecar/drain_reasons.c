#include "sidecar/drain_reasons.h"

#include "base/invariant.h"
#include "base/metrics.h"

#define LOG_MODULE "drain"
#include "base/log.h"

INVARIANT_DEFINE(not_taken_out, "taken_out_domain_starts_nothing");
INVARIANT_DEFINE(not_leaving, "leaving_upstream_starts_nothing");

METRIC_DEFINE(metric_draining, METRIC_GAUGE, "heatherturn_sidecar_draining",
    NULL, "1 while the sidecar accepts no new work.");

/* Initialises without a reason. */
void
drain_reasons_init(struct drain_reasons *reasons, struct runs *runs)
{
	*reasons = (struct drain_reasons){.runs = runs};
}

/* Returns a reason's name in the log. */
static const char *
reason_name(enum drain_reason reason)
{
	switch (reason) {
	case DRAIN_UNCONFIGURED:
		return "unconfigured";
	case DRAIN_BY_CONFIG:
		return "configured";
	case DRAIN_BY_PLACEMENT:
		return "assigned";
	case DRAIN_LOADING:
		return "loading";
	case DRAIN_STOPPING:
		return "stopping";
	}
	return "unknown";
}

/* Sets or clears a reason, and starts or ends draining with it. */
void
drain_reasons_set(
    struct drain_reasons *reasons, enum drain_reason reason, bool on)
{
	unsigned int before = reasons->set;

	if (on)
		reasons->set |= reason;
	else
		reasons->set &= ~(unsigned int)reason;
	if (reasons->set == before)
		return;
	metric_set(&metric_draining, reasons->set != 0);
	LOG_INFO("drain", "{s:s, s:b, s:b}", "reason", reason_name(reason),
	    "on", on, "takes_work", reasons->set == 0);
	if ((before != 0) != (reasons->set != 0))
		runs_set_draining(reasons->runs, reasons->set != 0);
}

/* Returns whether a reason is set. */
bool
drain_reasons_has(const struct drain_reasons *reasons, enum drain_reason reason)
{
	return (reasons->set & reason) != 0;
}

/*
 * Returns whether the failure domain of an upstream is in service in a
 * configuration.
 */
static bool
is_domain_in_service(
    const struct config *config, const Heatherturn__V1__Upstream *upstream)
{
	const Heatherturn__V1__FailureDomain *domain =
	    config_find_failure_domain(config, upstream->failure_domain);

	return domain != NULL &&
	    domain->state !=
	    HEATHERTURN__V1__FAILURE_DOMAIN_STATE__FAILURE_DOMAIN_STATE_TAKEN_OUT;
}

/*
 * Checks the invariants that, by this configuration, neither the upstream is
 * leaving nor its failure domain is taken out of service.
 */
void
drain_reasons_check_start(const struct config *config, const char *upstream_id)
{
	const Heatherturn__V1__Upstream *upstream = config_find_upstream(
	    config, upstream_id);

	invariant_check(&not_taken_out,
	    upstream != NULL && is_domain_in_service(config, upstream), NULL,
	    NULL);
	invariant_check(&not_leaving,
	    upstream != NULL &&
		upstream->state !=
		    HEATHERTURN__V1__UPSTREAM_STATE__UPSTREAM_STATE_LEAVING,
	    NULL, NULL);
}

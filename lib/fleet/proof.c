/* Proofs that the configuration of a VM is complete; see proof.h. */
#include "proof.h"
#include "../store/store.h"

/*
 * Calls to the store are costly, and so is a datagram from each VM. With one a
 * second, a proof is about 2 s old at most while everything works, of the 5 s
 * that the platform allows. A shorter bound needs them more often.
 */
#define QUERY_INTERVAL_MAX_US 1000000
#define QUERIES_PER_BOUND 5
/* Lost datagrams and a change of the leader must not use up the rest. */
#define URGENT_QUERIES 4 /* instead of one */
/*
 * A store that has come back from a copy may lack a configuration that took
 * keys away. Other VMs are asked for so long whether they had one in force.
 */
#define SETTLE_US 1500000
/* Queries are sent on ticks, which are not exact. */
#define TICK_SLACK_US 50000

void
fl_proof_init(struct fl_proof *proof, int64_t age_max_us, uint64_t process,
    int64_t now_us)
{
	*proof = (struct fl_proof){.age_max_us = age_max_us,
	    .process = process,
	    .created_us = now_us,
	    .fault = FL_PROOF_NO_ANSWER};
}

void
fl_proof_set_refused(struct fl_proof *proof, bool refused)
{
	proof->refused = refused;
}

int64_t
fl_proof_age_us(const struct fl_proof *proof, int64_t now_us)
{
	return proof->proven_us == 0 ? -1 : now_us - proof->proven_us;
}

bool
fl_proof_is_fresh(const struct fl_proof *proof, int64_t now_us)
{
	int64_t age_us = fl_proof_age_us(proof, now_us);

	return proof->proven_us != 0 && age_us >= 0 &&
	       age_us <= proof->age_max_us;
}

const char *
fl_proof_why_stale(const struct fl_proof *proof)
{
	switch (proof->fault) {
	case FL_PROOF_OK: /* and none since */
	case FL_PROOF_NO_ANSWER:
		return "no_answer";
	case FL_PROOF_UNPROVEN:
		return "unproven";
	case FL_PROOF_BEHIND:
		return "behind";
	case FL_PROOF_LOST:
		return "version_lost";
	case FL_PROOF_SETTLING:
		return "settling";
	case FL_PROOF_REFUSED:
		return "refused";
	}
	return "unknown";
}

static int64_t
query_interval_us(const struct fl_proof *proof)
{
	int64_t interval_us = proof->age_max_us / QUERIES_PER_BOUND;

	return interval_us < QUERY_INTERVAL_MAX_US ? interval_us
						   : QUERY_INTERVAL_MAX_US;
}

bool
fl_proof_is_store_due(struct fl_proof *proof, int64_t now_us)
{
	if (proof->asked_store_us != 0 &&
	    now_us - proof->asked_store_us <
		query_interval_us(proof) - TICK_SLACK_US)
		return false;
	proof->asked_store_us = now_us;
	return true;
}

static bool
renew(struct fl_proof *proof, int64_t proven_us)
{
	proof->fault = FL_PROOF_OK;
	/* Negative if the proof is older than the start of this machine. */
	if (proof->proven_us == 0 || proven_us > proof->proven_us)
		proof->proven_us = proven_us;
	return true;
}

static bool
is_useless(struct fl_proof *proof, enum fl_proof_fault fault)
{
	proof->fault = fault;
	return false;
}

/* Returns true if this VM has a configuration, and none that the store lost. */
static bool
may_be_complete(
    const struct fl_proof *proof, const struct fl_config_state *config)
{
	return config->revision != 0 && config->version >= proof->lost_version;
}

bool
fl_proof_by_store(struct fl_proof *proof, const struct fl_config_state *config,
    uint64_t era, int64_t sent_us)
{
	if (proof->era != 0 && era > proof->era)
		proof->settled_us = sent_us + SETTLE_US;
	if (era > proof->era)
		proof->era = era;
	if (proof->refused)
		return is_useless(proof, FL_PROOF_REFUSED);
	if (!may_be_complete(proof, config))
		return is_useless(proof, FL_PROOF_LOST);
	if (os_revision_era(config->revision) != era)
		return is_useless(proof, FL_PROOF_BEHIND);
	if (sent_us < proof->settled_us)
		return is_useless(proof, FL_PROOF_SETTLING);
	return renew(proof, sent_us);
}

bool
fl_proof_needs_others(const struct fl_proof *proof, int64_t now_us)
{
	return proof->proven_us == 0 || now_us < proof->settled_us ||
	       now_us - proof->proven_us > proof->age_max_us / 2;
}

/* A proof is wanted soon, and there has been none for a short time only. */
static bool
is_urgent(const struct fl_proof *proof, int64_t now_us)
{
	int64_t since_us = proof->proven_us == 0
			       ? proof->created_us
			       : proof->proven_us + proof->age_max_us / 2;

	if (now_us < proof->settled_us)
		return true;
	return now_us >= since_us && now_us - since_us <= 2 * proof->age_max_us;
}

bool
fl_proof_is_query_due(const struct fl_proof *proof, int64_t now_us)
{
	int64_t interval_us = query_interval_us(proof);

	if (is_urgent(proof, now_us))
		interval_us /= URGENT_QUERIES;
	return proof->asked_us == 0 ||
	       now_us - proof->asked_us >= interval_us - TICK_SLACK_US;
}

void
fl_proof_ask(struct fl_proof *proof, const struct fl_config_state *config,
    int64_t now_us, struct fl_proof_query *out)
{
	proof->asked_us = now_us;
	*out = (struct fl_proof_query){
	    .process = proof->process, .asked_us = now_us, .config = *config};
}

/*
 * A VM that has what the store had later, or the same, but a later version: the
 * store has come back from a copy without it, and this VM took that copy. What
 * the version took away is not known here, so no proof of the store counts.
 */
static void
hear_config(struct fl_proof *proof, const struct fl_config_state *own,
    const struct fl_config_state *other)
{
	if (own->revision == 0 || other->revision > own->revision ||
	    other->version <= own->version)
		return;
	if (other->version > proof->lost_version)
		proof->lost_version = other->version;
	proof->proven_us = 0;
}

void
fl_proof_answer(struct fl_proof *proof, const struct fl_config_state *config,
    const struct fl_proof_query *query, int64_t now_us,
    struct fl_proof_reply *out)
{
	hear_config(proof, config, &query->config);
	*out = (struct fl_proof_reply){
	    .process = query->process,
	    .asked_us = query->asked_us,
	    .proven = fl_proof_is_fresh(proof, now_us),
	    .config = *config,
	};
	if (out->proven)
		out->age_us = fl_proof_age_us(proof, now_us);
}

bool
fl_proof_take(struct fl_proof *proof, const struct fl_config_state *config,
    const struct fl_proof_reply *reply, int64_t now_us)
{
	/* Of another process at this address, or of no query at all. */
	if (reply->process != proof->process || reply->asked_us <= 0 ||
	    reply->asked_us > proof->asked_us || reply->asked_us > now_us)
		return false;
	hear_config(proof, config, &reply->config);
	if (proof->refused)
		return is_useless(proof, FL_PROOF_REFUSED);
	if (!may_be_complete(proof, config))
		return is_useless(proof, FL_PROOF_LOST);
	if (!reply->proven || reply->age_us < 0)
		return is_useless(proof, FL_PROOF_UNPROVEN);
	if (config->revision < reply->config.revision ||
	    config->version < reply->config.version)
		return is_useless(proof, FL_PROOF_BEHIND);
	return renew(proof, reply->asked_us - reply->age_us);
}

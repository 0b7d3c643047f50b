/*
 * Proofs that the keys in force are complete, where the settings are strict
 * about keys that were taken away. lib/fleet/proof.c decides what is a proof.
 */
#include "gateway.h"

void
ga_start_proofs(struct ga_app *app, uint64_t seed)
{
	fl_proof_init(&app->proof, app->settings.key_removal_ms * 1000, seed,
	    ga_boot_us());
}

/*
 * How long a VM that starts waits for its first proof before it accepts calls.
 * A slow store answers in about 270 ms, other VMs in 26 ms.
 */
#define FIRST_PROOF_WAIT_US 1000000

bool
ga_awaits_proof(const struct ga_app *app)
{
	return ga_needs_proof(app) && !app->keys_fresh &&
	       ga_boot_us() - app->proof_wanted_us < FIRST_PROOF_WAIT_US;
}

bool
ga_needs_proof(const struct ga_app *app)
{
	const struct rt_table *table = gw_table(app->gw);

	return app->settings.keys_need_proof && table != NULL &&
	       table->has_tenants;
}

static struct fl_config_state
config_state(const struct ga_app *app)
{
	const struct rt_table *table = gw_table(app->gw);

	return (struct fl_config_state){
	    .revision =
		table == NULL ? 0 : os_cache_revision(app->cache, GA_CONFIG),
	    .version = table == NULL ? 0 : table->version};
}

/* Passes the proof on to the gateway; logs when keys begin or cease to count.
 */
static void
apply_proof(struct ga_app *app)
{
	int64_t now_us = ga_boot_us();
	bool fresh = fl_proof_is_fresh(&app->proof, now_us);

	gw_set_key_proof(app->gw, app->proof.proven_us);
	if (fresh == app->keys_fresh)
		return;
	app->keys_fresh = fresh;
	ga_accept_calls(app);
	ga_publish_state(app);
	if (fresh)
		cs_log(CS_LOG_KEYS_FRESH, "age_us=%lld",
		    (long long)fl_proof_age_us(&app->proof, now_us));
	else
		cs_log(CS_LOG_KEYS_STALE, "age_us=%lld why=%s role=%d",
		    (long long)fl_proof_age_us(&app->proof, now_us),
		    fl_proof_why_stale(&app->proof), app->role);
}

void
ga_renew_proof(struct ga_app *app)
{
	struct fl_config_state config = config_state(app);
	struct fl_proof *proof = &app->proof;
	int64_t now_us = ga_boot_us();
	bool watches = app->role == FL_ROLE_WATCH_STORE;
	bool others = fl_proof_needs_others(proof, now_us);
	struct fl_proof_query query;

	if (!ga_needs_proof(app))
		return;
	if (app->proof_wanted_us == 0)
		app->proof_wanted_us = now_us;
	apply_proof(app);
	if (!app->accepts_calls)
		ga_accept_calls(app); /* the wait for a proof may be over */
	if (watches && fl_proof_is_store_due(proof, now_us) &&
	    os_client_prove(app->store, GA_CONFIG, now_us) != CS_OK)
		proof->asked_store_us = 0; /* on the next tick */
	if ((watches && !others) || !fl_proof_is_query_due(proof, now_us))
		return;
	fl_proof_ask(proof, &config, now_us, &query);
	fl_ask_for_proof(app->fleet, &query, others);
}

void
ga_on_proven(void *user, uint32_t kind, uint64_t era, int64_t sent_us)
{
	struct ga_app *app = user;
	struct fl_config_state config = config_state(app);

	if (kind != GA_CONFIG)
		return;
	fl_proof_by_store(&app->proof, &config, era, sent_us);
	apply_proof(app);
}

void
ga_on_proof_query(void *user, const struct fl_proof_query *query,
    const struct sockaddr_in *from)
{
	struct ga_app *app = user;
	struct fl_config_state config = config_state(app);
	struct fl_proof_reply reply;

	if (!ga_needs_proof(app))
		return;
	fl_proof_answer(&app->proof, &config, query, ga_boot_us(), &reply);
	fl_send_proof(app->fleet, from, &reply);
	apply_proof(app);
}

void
ga_on_proof(void *user, const struct fl_proof_reply *reply)
{
	struct ga_app *app = user;
	struct fl_config_state config = config_state(app);

	if (!ga_needs_proof(app))
		return;
	fl_proof_take(&app->proof, &config, reply, ga_boot_us());
	apply_proof(app);
}

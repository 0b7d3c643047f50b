/*
 * Evacuations: an object of the store asks that the targets of a data centre
 * get no new requests while it exists.
 */
#include <stdlib.h>

#include "gateway.h"

uint32_t
ga_kind_count(const struct ga_app *app)
{
	return app->settings.evacuate_ms > 0 ? GA_KINDS : GA_EVACUATIONS;
}

void
ga_apply_evacuation(struct ga_app *app, const struct os_change *change)
{
	struct bl_topology *topology = &app->topology;
	int data_centre = bl_topology_find(topology, change->name);
	uint64_t before = topology->evacuated, bit;

	if (data_centre < 0) {
		if (!change->deleted)
			cs_log(CS_LOG_EVACUATION_IGNORED,
			    "data_centre=%s fault=unknown", change->name);
		return;
	}
	bit = UINT64_C(1) << data_centre;
	topology->evacuated &= ~bit;
	if (!change->deleted && !pl_is_object(change->text))
		cs_log(CS_LOG_EVACUATION_IGNORED,
		    "data_centre=%s fault=unreadable", change->name);
	else if (!change->deleted)
		topology->evacuated |= bit;
	if (topology->evacuated == before)
		return;
	if (topology->evacuated > before)
		cs_log(CS_LOG_EVACUATION_IN_FORCE,
		    "data_centre=%s revision=%llu from=%s", change->name,
		    (unsigned long long)os_revision_number(change->revision),
		    app->update_source);
	else
		cs_log(CS_LOG_EVACUATION_ENDED,
		    "data_centre=%s revision=%llu from=%s", change->name,
		    (unsigned long long)os_revision_number(change->revision),
		    app->update_source);
}

void
ga_note_era(struct ga_app *app, uint64_t era)
{
	if (era <= app->heard_era)
		return;
	app->heard_era = era;
	app->heard_era_us = cs_now_us();
}

/*
 * Returns true if removals in the batch may only be due to a copy. Of a new
 * era, only a list counts: changes do not tell what the copy lacks.
 */
static bool
keeps_removed(
    const struct ga_app *app, const struct os_batch *batch, bool snapshot)
{
	uint64_t known = os_cache_revision(app->cache, GA_EVACUATIONS);

	if (known == 0 ||
	    os_revision_era(batch->revision) <= os_revision_era(known))
		return false;
	return !snapshot ||
	       cs_now_us() < app->heard_era_us + GA_REMOVAL_GRACE_US;
}

void
ga_apply_evacuations(struct ga_app *app, const struct os_batch *batch,
    bool snapshot, const char *source)
{
	struct os_batch remaining;

	if (!keeps_removed(app, batch, snapshot)) {
		ga_apply_update(app, GA_EVACUATIONS, batch, snapshot, source);
		return;
	}
	/*
	 * The revision stays that of before, so that a follower gets the list
	 * from its leader again.
	 */
	app->evacuations_kept = true;
	if (os_cache_without_removals(
		app->cache, GA_EVACUATIONS, batch, &remaining) == CS_OK)
		ga_apply_update(app, GA_EVACUATIONS, &remaining, false, source);
	free(remaining.changes);
}

void
ga_check_evacuations(struct ga_app *app)
{
	if (!app->evacuations_kept ||
	    cs_now_us() < app->heard_era_us + GA_REMOVAL_GRACE_US)
		return;
	app->evacuations_kept = false;
	os_client_relist(app->store, GA_EVACUATIONS);
}

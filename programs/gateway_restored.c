/*
 * A store that has come back from an older copy tells of states that are over:
 * targets that have left since, an older configuration. What this VM knows goes
 * first, until they are written again.
 */
#include <stdlib.h>
#include <string.h>

#include "gateway.h"

/*
 * A target that was gone before may be in the copy and alive. Its registration
 * lapses by then if it is not.
 */
#define REAPPEAR_WAIT_US 5000000

void
ga_note_departure(struct ga_app *app, const char *id)
{
	struct ga_departure *departure =
	    &app->departures[app->departure_count % GA_DEPARTURES_MAX];
	struct gw_target_state state;

	if (!gw_find_target(app->gw, id, &state) || state.process_start_ms == 0)
		return; /* it could not be told from a later process */
	cs_copy_text(departure->id, sizeof(departure->id), id);
	departure->process_start_ms = state.process_start_ms;
	departure->was_leaving = state.leaving;
	app->departure_count++;
}

/* Returns what is known of the last process that departed under this id. */
static const struct ga_departure *
find_departure(const struct ga_app *app, const char *id)
{
	uint32_t kept = app->departure_count < GA_DEPARTURES_MAX
			    ? app->departure_count
			    : GA_DEPARTURES_MAX;
	uint32_t i;

	for (i = 1; i <= kept; i++) {
		const struct ga_departure *departure =
		    &app->departures[(app->departure_count - i) %
				     GA_DEPARTURES_MAX];

		if (strcmp(departure->id, id) == 0)
			return departure;
	}
	return NULL;
}

bool
ga_has_left(const struct ga_app *app, const struct pl_target *target)
{
	const struct ga_departure *departure = find_departure(app, target->id);

	return departure != NULL && departure->was_leaving &&
	       target->process_start_ms <= departure->process_start_ms;
}

int64_t
ga_reappear_wait_us(const struct ga_app *app)
{
	int64_t wait_us = app->restored_us + REAPPEAR_WAIT_US - cs_now_us();

	return app->restored_us == 0 || wait_us < 0 ? 0 : wait_us;
}

/* The copy has the target, which was gone: whether it is alive is not known. */
static bool
may_be_gone(const struct ga_app *app, const struct pl_target *target)
{
	const struct ga_departure *departure = find_departure(app, target->id);

	if (ga_has_left(app, target))
		return true;
	return departure != NULL &&
	       target->process_start_ms <= departure->process_start_ms &&
	       ga_reappear_wait_us(app) > 0;
}

/* Returns true if the known object is later than that of the copy. */
static bool
is_target_of_before(const struct os_change *change, const char *known_text)
{
	char error_text[PL_TEXT_BYTES_MAX];
	struct pl_target copied, known;

	if (pl_read_target(change->name, change->text, &copied, error_text) !=
		CS_OK ||
	    pl_read_target(change->name, known_text, &known, error_text) !=
		CS_OK)
		return false;
	if (known.process_start_ms != copied.process_start_ms)
		return known.process_start_ms > copied.process_start_ms;
	return known.draining && !copied.draining;
}

/*
 * Copies the text, since the cache frees its own when the change is applied,
 * before it is sent to the other VMs. Without memory the text is NULL.
 */
static void
keep_known_text(struct os_change *change, const char *known)
{
	change->text = strdup(known);
	change->text_length = strlen(known);
}

/* A configuration that was accepted stays in force until a later one comes. */
static void
correct_config(const struct ga_app *app, struct os_change *change)
{
	const struct rt_table *in_force = gw_table(app->gw);
	char error_text[PL_TEXT_BYTES_MAX];
	struct pl_table_faults faults;
	struct rt_table *table;
	uint64_t revision;
	const char *known =
	    os_cache_find(app->cache, GA_CONFIG, change->name, &revision);

	if (known == NULL || in_force == NULL ||
	    strcmp(change->name, PL_CONFIG_NAME) != 0 ||
	    os_revision_era(change->revision) <= os_revision_era(revision))
		return;
	if (pl_read_table(change->text, &table, &faults, error_text) != CS_OK) {
		keep_known_text(change, known);
		return;
	}
	if (table->version < in_force->version) {
		cs_log(CS_LOG_TABLE_OF_COPY, "version=%llu in_force=%llu",
		    (unsigned long long)table->version,
		    (unsigned long long)in_force->version);
		keep_known_text(change, known);
	}
	rt_table_unref(table);
}

/* Corrects a target. Returns false if it is to be left out. */
static bool
correct_target(const struct ga_app *app, struct os_change *change)
{
	char error_text[PL_TEXT_BYTES_MAX];
	struct pl_target target;
	uint64_t revision;
	const char *known =
	    os_cache_find(app->cache, GA_TARGETS, change->name, &revision);

	if (known == NULL)
		return find_departure(app, change->name) == NULL ||
		       pl_read_target(change->name, change->text, &target,
			   error_text) != CS_OK ||
		       !may_be_gone(app, &target);
	if (os_revision_era(change->revision) > os_revision_era(revision) &&
	    is_target_of_before(change, known))
		keep_known_text(change, known);
	return true;
}

/* Corrects a change from the store. Returns false if it is to be left out. */
static bool
correct(const struct ga_app *app, uint32_t kind, struct os_change *change)
{
	if (change->deleted)
		return true;
	switch ((enum ga_kind)kind) {
	case GA_CONFIG:
		correct_config(app, change);
		return true;
	case GA_TARGETS:
		return correct_target(app, change);
	case GA_EVACUATIONS:
	case GA_KINDS:
		break;
	}
	return true;
}

int
ga_correct_batch(const struct ga_app *app, uint32_t kind,
    const struct os_batch *batch, struct ga_corrected *out)
{
	uint32_t i;

	*out = (struct ga_corrected){.batch = *batch};
	out->batch.count = 0;
	out->batch.changes =
	    calloc(batch->count + 1, sizeof(*out->batch.changes));
	out->copies = calloc(batch->count + 1, sizeof(*out->copies));
	if (out->batch.changes == NULL || out->copies == NULL)
		return CS_E_SYSTEM;
	for (i = 0; i < batch->count; i++) {
		struct os_change change = batch->changes[i];

		if (!correct(app, kind, &change)) {
			cs_log(CS_LOG_TARGET_OF_COPY, "target=%s", change.name);
			continue;
		}
		if (change.text != batch->changes[i].text) {
			if (change.text == NULL)
				return CS_E_SYSTEM;
			out->copies[out->copy_count++] = change.text;
		}
		out->batch.changes[out->batch.count++] = change;
	}
	return CS_OK;
}

void
ga_free_corrected(struct ga_corrected *corrected)
{
	uint32_t i;

	for (i = 0; i < corrected->copy_count; i++)
		free(corrected->copies[i]);
	free(corrected->copies);
	free(corrected->batch.changes);
}

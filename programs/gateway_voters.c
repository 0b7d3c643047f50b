/*
 * The region's list of voters in the store, see lib/fleet/voters.h: a VM that
 * watches the store reads it, and writes the next one when it is due.
 */
#include <stdlib.h>

#include "gateway.h"

#define RETRY_MIN_US 250000
#define RETRY_MAX_US 4000000
/*
 * While a voter is silent, another part of the region may write a list. What
 * has the majority must learn of it soon, since it gives out quotas.
 */
#define POLL_INTERVAL_US 200000 /* on every tick */
#define POLL_IDLE_INTERVAL_US 1000000
/* Lists of the past that are left in the store. */
#define OLD_LISTS_MAX 8
/*
 * The number of a list that was removed can be created again, so that this
 * proves nothing to a VM that knows only older ones.
 */
#define READ_AGE_MAX_US 1000000

bool
ga_uses_voters(const struct pl_settings *settings)
{
	return settings->quota_window_ms > 0 || settings->cold_excess > 0.0;
}

static void
on_era(uint64_t era, void *user)
{
	struct ga_voters *voters = &((struct ga_app *)user)->voters;

	voters->era = era;
	voters->is_read = false;
}

int
ga_start_voters(struct ga_app *app)
{
	if (!ga_uses_voters(&app->settings))
		return CS_OK;
	app->voters.objects =
	    os_objects_create(&app->loop, &app->settings.store, &pl_codec);
	if (app->voters.objects == NULL)
		return CS_E_SYSTEM;
	os_objects_on_era(app->voters.objects, on_era, app);
	return CS_OK;
}

/* The store has to be read again, later if the last call failed. */
static void
read_again(struct ga_voters *voters, bool failed)
{
	int64_t delay_us = RETRY_MIN_US;
	uint32_t i;

	voters->is_read = false;
	voters->failures = failed ? voters->failures + 1 : 0;
	for (i = 1; i < voters->failures && delay_us < RETRY_MAX_US; i++)
		delay_us *= 2;
	voters->next_us = failed ? cs_now_us() + delay_us : 0;
}

static bool
take_value(struct ga_app *app, uint64_t id, const char *value)
{
	struct ga_voters *voters = &app->voters;

	if (pl_read_voters(value, id, &voters->list) != CS_OK)
		return false;
	voters->stored_id = id;
	fl_take_voters(app->fleet, &voters->list);
	return true;
}

static void
on_removed(const struct os_object *object, void *user)
{
	(void)object;
	(void)user;
}

static void
remove_old(struct ga_app *app, const struct os_listed_object *list,
    uint32_t count, uint64_t latest)
{
	uint32_t i, old = 0;

	for (i = 0; i < count; i++)
		old += pl_read_voters_name(
			   list[i].name, app->settings.region) != 0;
	for (i = 0; i < count && old > OLD_LISTS_MAX; i++) {
		uint64_t id =
		    pl_read_voters_name(list[i].name, app->settings.region);

		if (id != 0 && id < latest)
			os_remove(app->voters.objects, PL_KIND_VOTERS,
			    list[i].name, on_removed, NULL);
	}
}

static void
on_listed(
    int error, const struct os_listed_object *list, uint32_t count, void *user)
{
	struct ga_app *app = user;
	struct ga_voters *voters = &app->voters;
	uint64_t id, latest = 0;
	const char *value = NULL;
	uint32_t i;

	voters->is_pending = false;
	if (error != CS_OK) {
		read_again(voters, true);
		return;
	}
	for (i = 0; i < count; i++) {
		id = pl_read_voters_name(list[i].name, app->settings.region);
		if (id <= latest ||
		    pl_read_voters(list[i].value, id, &voters->list) != CS_OK)
			continue;
		latest = id;
		value = list[i].value;
	}
	voters->failures = 0;
	voters->is_read = true;
	voters->known_id = fl_get_membership(app->fleet)->voters.id;
	voters->stored_id = 0;
	if (value != NULL)
		take_value(app, latest, value);
	fl_voters_read(app->fleet, voters->asked_us);
	remove_old(app, list, count, latest);
}

static void
on_written(const struct os_object *object, void *user)
{
	struct ga_app *app = user;
	struct ga_voters *voters = &app->voters;

	voters->is_pending = false;
	voters->is_closed =
	    app->stop_started_us != 0 &&
	    (object->error == CS_OK || object->error == CS_E_CONFLICT);
	/* Also if the store has come back from an older copy meanwhile. */
	if (object->error != CS_OK || !voters->is_read) {
		read_again(voters,
		    object->error != CS_OK && object->error != CS_E_CONFLICT);
		return;
	}
	voters->stored_id = voters->list.id;
	cs_log(CS_LOG_VOTERS_WRITTEN, "list=%llx before=%llx why=%s voters=%u",
	    (unsigned long long)voters->list.id,
	    (unsigned long long)voters->list.before_id,
	    fl_voters_change_text(voters->change),
	    fl_voters_count(&voters->list));
	fl_take_voters(app->fleet, &voters->list);
	if (++voters->written % OLD_LISTS_MAX == 0)
		voters->is_read = false; /* removes old ones */
}

static void
write_list(struct ga_app *app)
{
	struct ga_voters *voters = &app->voters;
	char name[PL_TEXT_BYTES_MAX], *value = pl_write_voters(&voters->list);

	if (value == NULL)
		return;
	pl_voters_name(app->settings.region, voters->list.id, name);
	voters->is_pending = true;
	os_write(voters->objects, PL_KIND_VOTERS, name, OS_MUST_NOT_EXIST,
	    value, on_written, app);
	free(value);
}

static void
on_polled(const struct os_object *object, void *user)
{
	struct ga_app *app = user;
	struct ga_voters *voters = &app->voters;

	voters->is_pending = false;
	if (object->error == CS_OK)
		take_value(app, voters->polled_id, object->value);
	else if (object->error != CS_E_MISSING)
		read_again(voters, true);
}

static void
read_next(struct ga_app *app, int64_t now_us)
{
	struct ga_voters *voters = &app->voters;
	char name[PL_TEXT_BYTES_MAX];

	voters->polled_id = fl_voters_next_id(
	    &fl_get_membership(app->fleet)->voters, voters->era);
	voters->polled_us = now_us;
	voters->is_pending = true;
	pl_voters_name(app->settings.region, voters->polled_id, name);
	os_read(voters->objects, PL_KIND_VOTERS, name, on_polled, app);
}

static int64_t
poll_interval_us(const struct ga_app *app)
{
	return fl_membership_hears_voters(
		   fl_get_membership(app->fleet), cs_now_us())
		   ? POLL_INTERVAL_US
		   : POLL_IDLE_INTERVAL_US;
}

static void
read_lists(struct ga_app *app, int64_t now_us)
{
	struct ga_voters *voters = &app->voters;

	voters->is_pending = true;
	voters->asked_us = now_us;
	os_list(voters->objects, PL_KIND_VOTERS, on_listed, app);
}

/* A majority of the list before knows that no other part has written one. */
static bool
has_majority(enum fl_voters_change change)
{
	return change == FL_VOTERS_CHANGED || change == FL_VOTERS_KEPT;
}

/* Returns true if there is something to write. */
static bool
propose(struct ga_app *app, int64_t now_us)
{
	struct ga_voters *voters = &app->voters;

	voters->change =
	    fl_membership_propose_voters(fl_get_membership(app->fleet),
		voters->stored_id, voters->era, now_us, &voters->list);
	if (voters->change == FL_VOTERS_NO_CHANGE)
		return false;
	if (!has_majority(voters->change) &&
	    (!voters->is_read || now_us - voters->asked_us > READ_AGE_MAX_US))
		read_lists(app, now_us);
	else
		write_list(app);
	return true;
}

void
ga_tend_voters(struct ga_app *app)
{
	const struct fl_membership *membership = fl_get_membership(app->fleet);
	struct ga_voters *voters = &app->voters;
	int64_t now_us = cs_now_us();

	if (voters->objects == NULL || voters->is_pending)
		return;
	if (now_us < voters->next_us)
		return;
	if (app->stop_started_us != 0) {
		if (!voters->is_closed)
			propose(app, now_us);
		return;
	}
	if (app->role != FL_ROLE_WATCH_STORE) {
		voters->is_read = false;
		fl_voters_not_read(app->fleet);
		return;
	}
	/* Another VM may have written the list, or the store lost it. */
	if (os_client_era(app->store) > voters->era ||
	    (membership->voters.id > voters->stored_id &&
		membership->voters.id != voters->known_id) ||
	    (fl_membership_lacks_voters(membership) &&
		now_us - voters->asked_us >= POLL_IDLE_INTERVAL_US))
		voters->is_read = false;
	if (!voters->is_read) {
		read_lists(app, now_us);
		return;
	}
	if (!propose(app, now_us) &&
	    fl_membership_misses_voters(membership, now_us) &&
	    now_us - voters->polled_us >= poll_interval_us(app))
		read_next(app, now_us);
}

/*
 * The client: the followed kinds, the health check of the store and this VM's
 * own object.
 */
#include <stdlib.h>
#include <string.h>

#include "cache.h"
#include "store_internal.h"

/*
 * A waiting watch does not reveal that the store has stopped responding. A read
 * that allows stale data does, at a tenth of the cost of another call.
 */
#define HEALTH_CHECK_INTERVAL_MS 400
/* A slow store responds in about 270 ms. */
#define HEALTH_CHECK_TIMEOUT_MS 400
#define ANNOUNCE_TIMEOUT_MS 2000 /* retried with backoff */

static void
start_follows(struct os_client *client)
{
	uint32_t i;

	for (i = 0; i < client->params.kind_count; i++)
		os_follow_start(&client->follows[i]);
}

/* Compares a pending watch with the response to a check. */
static void
check_watch(struct os_client *client, int status, const struct os_text *body)
{
	struct os_follow *follow = client->checked;

	client->checked = NULL;
	if (follow != NULL && os_follow_is_waiting(follow) &&
	    follow->watch_number == client->checked_watch)
		os_follow_check(follow, status, body);
}

static void
on_health_check_done(
    struct os_call *call, int status, const struct os_text *body)
{
	struct os_client *client = call->client;
	uint32_t i;

	if (!client->following)
		return;
	if (status == 200 || status == 404 ||
	    status == OS_STATUS_HISTORY_EXPIRED ||
	    status == OS_STATUS_OLD_ERA) {
		check_watch(client, status, body);
		start_follows(client);
		os_set_reachable(client, true, "checked");
		return;
	}
	/*
	 * The watches use the same network path. They start again when the
	 * store responds.
	 */
	for (i = 0; i < client->params.kind_count; i++)
		os_follow_stop(&client->follows[i]);
	os_set_reachable(client, false,
	    status == OS_NO_RESPONSE ? "check_unanswered" : "check_refused");
}

/*
 * A check asks for what a pending watch should have reported, each kind in
 * turn. Without a watch it reads this VM's own object.
 */
static int
write_check_path(struct os_client *client, char path[OS_PATH_BYTES_MAX])
{
	const struct os_params *params = &client->params;
	struct os_follow *follow =
	    &client->follows[client->next_checked++ % params->kind_count];

	client->checked = NULL;
	if (!os_follow_is_waiting(follow))
		return params->codec->check_path(
		    path, params->own_kind, params->own_name);
	client->checked = follow;
	client->checked_watch = follow->watch_number;
	return params->codec->changes_path(path, params->kinds[follow->kind],
	    os_revision_number(follow->revision));
}

static void
on_health_check_due(uv_timer_t *timer)
{
	struct os_client *client = timer->data;
	char path[OS_PATH_BYTES_MAX];

	if (os_call_pending(&client->health_check))
		return;
	if (write_check_path(client, path) == CS_OK)
		os_call_send(&client->health_check, "GET", path, NULL,
		    HEALTH_CHECK_TIMEOUT_MS);
}

static void announce(struct os_client *client);

static void
on_announce_due(uv_timer_t *timer)
{
	announce(timer->data);
}

static void
announce_failed(struct os_client *client)
{
	uv_timer_start(&client->announce_timer, on_announce_due,
	    os_backoff_ms(client, ++client->announce_failures), 0);
	client->announce_done(client->params.user, NULL);
}

static void
list_own_kind(struct os_client *client)
{
	char path[OS_PATH_BYTES_MAX];

	client->announce_listing = true;
	if (client->params.codec->list_path(path, client->params.own_kind,
		client->announce_pages.after) == CS_OK)
		os_call_send(
		    &client->announce, "GET", path, NULL, ANNOUNCE_TIMEOUT_MS);
}

static void
on_announce_response(
    struct os_call *call, int status, const struct os_text *body)
{
	struct os_client *client = call->client;
	struct os_batch batch = {.count = 0};

	if (!client->announce_listing) {
		os_pages_reset(&client->announce_pages);
		if (status / 100 == 2 || status == 409)
			list_own_kind(client);
		else
			announce_failed(client);
		return;
	}
	if (status != 200 ||
	    os_pages_read(&client->announce_pages, client->params.codec,
		client->params.own_kind, body, &batch) != CS_OK) {
		announce_failed(client);
		return;
	}
	client->announce_failures = 0;
	client->announce_done(client->params.user, &batch);
	if (client->announce_pages.after != NULL)
		list_own_kind(client);
	os_batch_free(&batch);
}

static void
announce(struct os_client *client)
{
	char path[OS_PATH_BYTES_MAX], *object;

	client->announce_listing = false;
	object = client->params.codec->write_object(
	    client->params.own_name, client->announced_value, 0);
	if (object != NULL && client->params.codec->kind_path(
				  path, client->params.own_kind) == CS_OK)
		os_call_send(&client->announce, "POST", path, object,
		    ANNOUNCE_TIMEOUT_MS);
	free(object);
}

void
os_client_announce(struct os_client *client, const char *value_json,
    void (*done)(void *user, const struct os_batch *batch))
{
	free(client->announced_value);
	client->announced_value = strdup(value_json);
	client->announce_done = done;
	announce(client);
}

/* Lists all kinds again, in a new era. */
static bool
restart(struct os_client *client, const struct os_call *call)
{
	bool replaced = false;
	uint32_t i;

	client->params.events->on_restored(client->params.user, client->era);
	client->checked = NULL;
	for (i = 0; i < client->params.kind_count; i++) {
		struct os_follow *follow = &client->follows[i];

		os_follow_stop(follow);
		follow->revision = 0;
		replaced |= call == &follow->call;
	}
	if (client->following || client->list_once)
		start_follows(client);
	return replaced;
}

int
os_client_create(const struct os_params *params, struct os_client **out)
{
	struct os_client *client = calloc(1, sizeof(*client));
	uint32_t i;

	if (client == NULL)
		return CS_E_SYSTEM;
	client->params = *params;
	client->restart = restart;
	client->http = h1_client_create(params->loop);
	if (client->http == NULL) {
		free(client);
		return CS_E_SYSTEM;
	}
	cs_random_seed(&client->random, params->seed);
	for (i = 0; i < params->kind_count; i++)
		os_follow_init(&client->follows[i], client, i);
	os_call_init(&client->health_check, client, on_health_check_done);
	os_call_init(&client->announce, client, on_announce_response);
	os_own_list_init(client);
	os_proof_init(client);
	uv_timer_init(params->loop, &client->health_check_timer);
	client->health_check_timer.data = client;
	uv_timer_init(params->loop, &client->announce_timer);
	client->announce_timer.data = client;
	*out = client;
	return CS_OK;
}

void
os_client_list_once(struct os_client *client)
{
	if (client->following)
		return;
	client->list_once = true;
	start_follows(client);
}

/*
 * Lists the kinds again that others have told more of: what the watch reports
 * of the time between is known in part, and may be of another era.
 */
static void
drop_old_revisions(struct os_client *client)
{
	const struct os_cache *cache = client->params.cache;
	uint32_t i;

	for (i = 0; cache != NULL && i < client->params.kind_count; i++) {
		if (os_cache_revision(cache, i) > client->follows[i].revision)
			client->follows[i].revision = 0;
	}
}

void
os_client_follow(struct os_client *client, bool on)
{
	uint32_t i;

	if (client->following == on)
		return;
	client->following = on;
	client->list_once = false;

	if (on) {
		drop_old_revisions(client);
		start_follows(client);
		uv_timer_start(&client->health_check_timer, on_health_check_due,
		    HEALTH_CHECK_INTERVAL_MS, HEALTH_CHECK_INTERVAL_MS);
		return;
	}
	for (i = 0; i < client->params.kind_count; i++)
		os_follow_stop(&client->follows[i]);
	uv_timer_stop(&client->health_check_timer);
	os_call_cancel(&client->health_check);
	os_call_cancel(&client->proof.call);
	client->reachable = false;
}

bool
os_client_is_current(const struct os_client *client)
{
	uint32_t i;

	for (i = 0; i < client->params.kind_count; i++) {
		if (client->follows[i].revision == 0 ||
		    !client->follows[i].watching)
			return false;
	}
	return client->following && client->reachable;
}

uint64_t
os_client_revision(const struct os_client *client, uint32_t kind)
{
	return client->follows[kind].revision;
}

int64_t
os_client_confirmed_us(const struct os_client *client)
{
	int64_t oldest_us = INT64_MAX;
	uint32_t i;

	for (i = 0; i < client->params.kind_count; i++) {
		if (client->follows[i].confirmed_us < oldest_us)
			oldest_us = client->follows[i].confirmed_us;
	}
	return oldest_us;
}

uint64_t
os_client_era(const struct os_client *client)
{
	return client->era;
}

uint64_t
os_client_calls(const struct os_client *client)
{
	return client->calls;
}

void
os_client_close(struct os_client *client)
{
	uint32_t i;

	for (i = 0; i < client->params.kind_count; i++)
		os_follow_close(&client->follows[i]);
	h1_client_close(client->http);
	uv_close((uv_handle_t *)&client->health_check_timer, NULL);
	uv_close((uv_handle_t *)&client->announce_timer, NULL);
	free(client->announced_value);
	client->announced_value = NULL;
	os_pages_reset(&client->announce_pages);
	os_pages_reset(&client->own_pages);
}

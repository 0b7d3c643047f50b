/* Follows one kind of objects: lists, watches, and lists again after a gap. */
#include <stdlib.h>
#include <string.h>

#include "store_internal.h"

#define LIST_TIMEOUT_MS 2000 /* many times a slow store's response time */
#define WATCH_WAIT_MS 25000  /* a store ends a watch after 30 s */
#define WATCH_RESPONSE_MARGIN_MS 3000 /* for the response that ends a watch */
/*
 * Delay between a watch that returned changes and the next one; a small part of
 * any limit on how late a change may arrive.
 */
#define WATCH_BATCH_DELAY_MS 150

void
os_batch_free(struct os_batch *batch)
{
	uint32_t i;

	for (i = 0; i < batch->count; i++)
		free(batch->changes[i].text);
	free(batch->changes);
	*batch = (struct os_batch){.count = 0};
}

/* Requests the next page. */
static void
request_list(struct os_follow *follow)
{
	const struct os_params *params = &follow->call.client->params;
	char path[OS_PATH_BYTES_MAX];

	follow->listing = true;
	follow->watching = false;
	if (params->codec->list_path(path, params->kinds[follow->kind],
		follow->pages.after) == CS_OK)
		os_call_send(&follow->call, "GET", path, NULL, LIST_TIMEOUT_MS);
}

static void
request_watch(struct os_follow *follow)
{
	const struct os_params *params = &follow->call.client->params;
	char path[OS_PATH_BYTES_MAX];

	follow->listing = false;
	follow->watching = true;
	follow->watch_number++;
	if (params->codec->watch_path(path, params->kinds[follow->kind],
		os_revision_number(follow->revision), WATCH_WAIT_MS) == CS_OK)
		os_call_send(&follow->call, "GET", path, NULL,
		    WATCH_WAIT_MS + WATCH_RESPONSE_MARGIN_MS);
}

void
os_follow_start(struct os_follow *follow)
{
	if (os_call_pending(&follow->call) ||
	    uv_is_active((uv_handle_t *)&follow->delay_timer))
		return;
	os_batch_free(&follow->list);
	os_pages_reset(&follow->pages);
	follow->list_revision = 0;
	if (follow->revision == 0)
		request_list(follow);
	else
		request_watch(follow);
}

void
os_follow_stop(struct os_follow *follow)
{
	uv_timer_stop(&follow->delay_timer);
	if (os_call_pending(&follow->call))
		follow->revision = 0; /* interrupted: see handle_failure() */
	os_call_cancel(&follow->call);
	os_batch_free(&follow->list);
	follow->listing = follow->watching = false;
}

static void
on_delay_elapsed(uv_timer_t *timer)
{
	os_follow_start(timer->data);
}

/* The list that is being reported is still in use. */
void
os_follow_lose(struct os_follow *follow)
{
	os_call_cancel(&follow->call);
	follow->revision = 0;
	follow->listing = follow->watching = false;
	uv_timer_start(&follow->delay_timer, on_delay_elapsed,
	    os_backoff_ms(follow->call.client, ++follow->failures), 0);
}

static void
handle_failure(struct os_follow *follow, int status)
{
	struct os_client *client = follow->call.client;

	if (client->list_once)
		return; /* not retried: other VMs also provide the objects */
	follow->failures++;
	os_batch_free(&follow->list);
	/*
	 * A watch that was interrupted is not resumed: the store may be about
	 * to drop the history in between, and would not report that.
	 */
	follow->revision = 0;
	follow->watching = false;
	uv_timer_start(&follow->delay_timer, on_delay_elapsed,
	    os_backoff_ms(client, follow->failures), 0);
	os_set_reachable(
	    client, false, status == OS_NO_RESPONSE ? "no_reply" : "refused");
}

/* Appends a page to the list and takes ownership of its changes. */
static int
append_page(struct os_follow *follow, struct os_batch *page)
{
	struct os_batch *list = &follow->list;
	struct os_change *grown;

	/* Also of a page of which no object is kept. */
	if (follow->list_revision == 0)
		follow->list_revision = page->revision;
	if (list->count == 0) {
		os_batch_free(list);
		*list = *page;
		return CS_OK;
	}
	if (page->count > 0) {
		grown = realloc(list->changes,
		    (list->count + page->count) * sizeof(*grown));
		if (grown == NULL)
			return CS_E_SYSTEM;
		memcpy(grown + list->count, page->changes,
		    page->count * sizeof(*grown));
		list->changes = grown;
		list->count += page->count;
	}
	free(page->changes);
	return CS_OK;
}

static void
on_list_page(struct os_follow *follow, const struct os_text *body)
{
	struct os_client *client = follow->call.client;
	struct os_batch page = {.count = 0};

	if (os_pages_read(&follow->pages, client->params.codec,
		client->params.kinds[follow->kind], body, &page) != CS_OK) {
		handle_failure(follow, OS_NO_RESPONSE);
		return;
	}
	os_batch_set_era(&page, client->era);
	if (append_page(follow, &page) != CS_OK) {
		os_batch_free(&page);
		handle_failure(follow, OS_NO_RESPONSE);
		return;
	}
	if (follow->pages.after != NULL) {
		request_list(follow);
		return;
	}
	/* The watch reports changes made between the pages again. */
	follow->revision = follow->list_revision;
	follow->list.revision = follow->list_revision;
	follow->failures = 0;
	follow->confirmed_us = cs_now_us();
	/* Before the callback, so that the VM counts as current in it. */
	if (!client->list_once)
		request_watch(follow);
	client->params.events->on_snapshot(
	    client->params.user, follow->kind, &follow->list);
	os_batch_free(&follow->list);
	if (!client->list_once)
		os_set_reachable(client, true, "listed");
}

static void
on_events(struct os_follow *follow, const struct os_text *body)
{
	struct os_client *client = follow->call.client;
	struct os_batch batch = {.count = 0};

	if (client->params.codec->parse_events(body, &batch) != CS_OK) {
		handle_failure(follow, OS_NO_RESPONSE);
		return;
	}
	os_batch_set_era(&batch, client->era);
	if (batch.revision > follow->revision)
		follow->revision = batch.revision;
	follow->failures = 0;
	follow->confirmed_us = cs_now_us();
	if (batch.count > 0)
		client->params.events->on_changes(
		    client->params.user, follow->kind, &batch);
	if (batch.count > 0) /* changes close together cost one call */
		uv_timer_start(&follow->delay_timer, on_delay_elapsed,
		    WATCH_BATCH_DELAY_MS, 0);
	else
		request_watch(follow);
	os_batch_free(&batch);
	os_set_reachable(client, true, "watched");
}

bool
os_follow_is_waiting(const struct os_follow *follow)
{
	return follow->watching && os_call_pending(&follow->call);
}

/* A check has found the pending watch behind. Returns true if again. */
static bool
is_dead(struct os_follow *follow, uint64_t revision, uint32_t changes)
{
	struct os_client *client = follow->call.client;
	bool again = follow->behind_watch == follow->watch_number;

	cs_log(CS_LOG_STORE_WATCH_BEHIND,
	    "kind=%s known_revision=%llu revision=%llu changes=%u dead=%d",
	    client->params.kinds[follow->kind],
	    (unsigned long long)os_revision_number(follow->revision),
	    (unsigned long long)os_revision_number(revision), changes, again);
	follow->behind_watch = follow->watch_number;
	return again;
}

/* What the watch should report is lost: it should have been told so. */
static void
check_expired(struct os_follow *follow)
{
	if (is_dead(follow, 0, 0))
		os_client_relist(follow->call.client, follow->kind);
}

void
os_client_lose(struct os_client *client, uint32_t kind)
{
	if (client->following)
		os_follow_lose(&client->follows[kind]);
}

void
os_follow_check(
    struct os_follow *follow, int status, const struct os_text *body)
{
	struct os_client *client = follow->call.client;
	struct os_batch missed;

	if (status == OS_STATUS_HISTORY_EXPIRED) {
		check_expired(follow);
		return;
	}
	if (status != 200 ||
	    client->params.codec->parse_events(body, &missed) != CS_OK)
		return; /* the check shows only that the store responds */
	os_batch_set_era(&missed, client->era);
	if (missed.count == 0 || missed.revision <= follow->revision)
		follow->confirmed_us = cs_now_us();
	else if (is_dead(follow, missed.revision, missed.count))
		os_client_relist(client, follow->kind);
	else
		client->params.events->on_changes(
		    client->params.user, follow->kind, &missed);
	os_batch_free(&missed);
}

static void
on_response(struct os_call *call, int status, const struct os_text *body)
{
	struct os_follow *follow = (struct os_follow *)call;

	if (!call->client->following && !call->client->list_once)
		return;

	cs_log(CS_LOG_STORE_NEWS,
	    "kind=%s call=%s status=%d known_revision=%llu bytes=%zu",
	    call->client->params.kinds[follow->kind],
	    follow->listing ? "list" : "watch", status,
	    (unsigned long long)os_revision_number(follow->revision),
	    body->length);
	if (status == OS_STATUS_HISTORY_EXPIRED) {
		follow->revision = 0;
		os_follow_start(follow);
	} else if (status != 200) {
		handle_failure(follow, status);
	} else if (follow->listing) {
		on_list_page(follow, body);
	} else {
		on_events(follow, body);
	}
}

void
os_follow_init(
    struct os_follow *follow, struct os_client *client, uint32_t kind)
{
	os_call_init(&follow->call, client, on_response);
	uv_timer_init(client->params.loop, &follow->delay_timer);
	follow->delay_timer.data = follow;
	follow->kind = kind;
}

void
os_follow_close(struct os_follow *follow)
{
	os_call_cancel(&follow->call);
	os_batch_free(&follow->list);
	os_pages_reset(&follow->pages);
	uv_close((uv_handle_t *)&follow->delay_timer, NULL);
}

void
os_client_relist(struct os_client *client, uint32_t kind)
{
	os_follow_stop(&client->follows[kind]);
	client->follows[kind].revision = 0;
	if (client->following)
		os_follow_start(&client->follows[kind]);
}

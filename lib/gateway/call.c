/*
 * Handles one call: a request of a caller from its arrival to the response. The
 * order of all steps is set here: placements are carried out, and an attempt
 * that ended is answered or placed again. The lower modules report through
 * gw_call_callbacks.
 */
#include <stdlib.h>
#include <string.h>

#include "gateway_internal.h"

/* A pool that the configuration names has no target yet. */
#define RETRY_AFTER_NO_POOL_US 100000
#define RETRY_AFTER_STOPPING_US 20000 /* another VM serves already */
/* A caller that leaves so late has waited until its own deadline. */
#define CALLER_TIMEOUT_MARGIN_US 100000
#define RETRY_AFTER_WAITED_US 10000 /* the call has waited already */

static struct gw_call *
allocate_call(struct gw *gw)
{
	struct gw_call *call = gw->free_calls;

	if (call != NULL) {
		gw->free_calls = call->next;
		return call;
	}
	call = calloc(1, sizeof(*call));
	if (call == NULL)
		return NULL;
	call->gw = gw;
	uv_timer_init(gw->params.loop, &call->deadline_timer);
	uv_timer_init(gw->params.loop, &call->step_timer);
	call->deadline_timer.data = call->step_timer.data = call;
	return call;
}

static void place_call(struct gw_call *call);
static void dispatch_waiting(struct gw_pool *pool);

/* Ends an attempt: sends the response, or places the call again. */
static void
attempt_ended(struct gw_call *call, enum bl_outcome outcome,
    const struct h1_message *response)
{
	struct gw_pool *pool = call->pool;
	enum bl_step step = gw_attempt_finish(call, outcome, response);

	if (step == BL_RETRY)
		place_call(call);
	else
		gw_respond(call, step, outcome, response);
	dispatch_waiting(pool);
}

static enum gw_reason
reason_of_refusal(const struct bl_placement *placement)
{
	if (strcmp(placement->reason, "no_target") == 0)
		return GW_NO_TARGET;
	if (strcmp(placement->reason, "paused") == 0)
		return GW_PAUSED;
	return strcmp(placement->reason, "limited") == 0 ? GW_LIMITED
							 : GW_NO_ROOM;
}

static void apply_placement(
    struct gw_call *call, const struct bl_placement *placement);

/* The last call of a queue that has become too long must not wait on. */
static void
displace_last(struct gw_pool *pool)
{
	struct gw_call *last = gw_queued_call(
	    bl_queue_last(&pool->queue, pool->balance, cs_now_us()));
	struct bl_placement placement;

	gw_place_displaced(last, &placement);
	apply_placement(last, &placement);
}

static void
apply_placement(struct gw_call *call, const struct bl_placement *placement)
{
	switch (placement->verdict) {
	case BL_SEND:
		/* It may have become known while the call waited. */
		if (gw_stop_suspect(call))
			break;
		if (!gw_may_send(call)) {
			gw_refuse_stopping(call);
			break;
		}
		if (gw_attempt_start(call, placement) != CS_OK)
			attempt_ended(call, BL_UNREACHED, NULL);
		break;
	case BL_PROBE:
		if (!gw_probe_for_call(call, placement))
			place_call(call);
		break;
	case BL_WAIT:
		gw_enqueue(call);
		if (call->pool->queue.by_cost &&
		    call->pool->queue.count > BL_QUEUE_WAITING_MAX)
			displace_last(call->pool);
		break;
	case BL_REFUSE:
		gw_log_refusal(call, placement);
		gw_respond_error(call, 503, reason_of_refusal(placement),
		    placement->retry_after_us);
		break;
	}
}

static void
place_call(struct gw_call *call)
{
	struct bl_placement placement;

	gw_place(call, &placement);
	if (placement.verdict == BL_SEND && gw_must_queue(call))
		placement.verdict = BL_WAIT;
	apply_placement(call, &placement);
}

/* Places the waiting calls, in the order of lib/balance/queue.c. */
static void
dispatch_waiting(struct gw_pool *pool)
{
	struct bl_queue_scan scan;
	struct gw_call *call;

	bl_queue_begin(&pool->queue, &scan);
	while ((call = gw_queued_call(bl_queue_next(&pool->queue, pool->balance,
		    &scan, cs_now_us()))) != NULL) {
		struct bl_placement placement;

		gw_place(call, &placement);
		/* The call keeps its position in the queue. */
		if (placement.verdict == BL_PROBE) {
			call->queued.probed_us = cs_now_us();
			if (gw_probe_for_pool(pool, &placement)) {
				bl_queue_block(
				    &pool->queue, &scan, &call->queued);
				continue;
			}
		}
		if (placement.verdict == BL_PROBE)
			gw_place_without_probes(call, &placement);
		if (placement.verdict == BL_WAIT) {
			bl_queue_block(&pool->queue, &scan, &call->queued);
			continue;
		}
		gw_dequeue(call);
		apply_placement(call, &placement);
	}
	gw_schedule_dispatch(pool);
}

static void
probe_ended(struct gw_pool *pool, struct bl_target *target)
{
	struct gw_call *call = pool->awaiting_probes, *next;

	for (; call != NULL; call = next) {
		struct bl_placement placement;

		next = call->next;
		if (!gw_probe_settled(call, target, &placement))
			continue;
		gw_dequeue(call);
		call->probes_pending = 0;
		apply_placement(call, &placement);
		next = pool->awaiting_probes; /* the list may have changed */
	}
	dispatch_waiting(pool);
}

static void
heard(struct gw_target_connections *connections,
    const struct h1_message *response, enum bl_outcome outcome)
{
	struct gw *gw = connections->gw;

	if (outcome == BL_MISPLACED)
		gw_target_replaced(connections);
	if (outcome == BL_MISPLACED || outcome == BL_GARBLED)
		gw_hear_leaving(gw, connections->target, response);
	else
		gw_hear(gw, connections->target, response);
}

void
gw_call_abandon(struct gw_call *call)
{
	struct gw_pool *pool = call->pool;

	call->gw->counters.callers_gone++;
	if (cs_now_us() >= call->deadline_us - CALLER_TIMEOUT_MARGIN_US)
		gw_suspect_silence(call);
	gw_cancel(call);
	gw_attempt_drop(call, BL_CANCELLED);
	gw_call_end(call, 0, GW_CALLER_GONE);
	if (pool != NULL)
		dispatch_waiting(pool);
}

static void
on_deadline(uv_timer_t *timer)
{
	struct gw_call *call = timer->data;
	struct gw_pool *pool = call->pool;
	bool sent = call->state == GW_CALL_SENT;

	gw_suspect_silence(call);
	gw_cancel(call);
	gw_attempt_drop(call, BL_CANCELLED);
	if (sent)
		gw_respond_error(call, 504, GW_TIMED_OUT, 0);
	else
		gw_respond_error(
		    call, 503, GW_TIMED_OUT_WAITING, RETRY_AFTER_WAITED_US);
	if (pool != NULL)
		dispatch_waiting(pool);
}

/*
 * Identifies a request and its repetitions. These may come over any connection
 * and from any address, and each has an id of its own.
 */
static uint64_t
fingerprint_of(const struct h1_message *request)
{
	const char *host = h1_find_header(request, "host");
	uint64_t hash = cs_hash(h1_target(request), strlen(h1_target(request)));

	if (host != NULL)
		hash = cs_hash_seeded(host, strlen(host), hash);
	hash = cs_hash_seeded(request->method, strlen(request->method), hash);
	hash =
	    cs_hash_seeded(request->body.data == NULL ? "" : request->body.data,
		request->body.length, hash);
	return hash == 0 ? 1 : hash;
}

static void
set_deadlines(struct gw_call *call)
{
	int64_t left_ms = gw_deadline_ms(call->gw, call->request);
	int64_t timeout_ms = call->route->timeout_ms;
	int64_t left_us;

	if (left_ms < timeout_ms)
		timeout_ms = left_ms;
	call->objective_us = (int64_t)call->route->objective_ms * 1000;
	if (call->objective_us == 0)
		call->objective_us = timeout_ms * 1000;
	call->deadline_us = call->received_us + timeout_ms * 1000;
	left_us = call->deadline_us - cs_now_us() + GW_TIMEOUT_MARGIN_US;
	uv_timer_start(&call->deadline_timer, on_deadline,
	    left_us > 0 ? (uint64_t)left_us / 1000 : 0, 0);
}

static void
choose_pool(struct gw_call *call)
{
	const struct rt_route *route = call->route;
	uint32_t backend = bl_pick_backend(route, call->number);

	call->pool = gw_pool_of(call->gw, route->backends[backend].pool_name);
}

void
gw_refuse_stopping(struct gw_call *call)
{
	gw_respond_error(call, 503, GW_STOPPING, RETRY_AFTER_STOPPING_US);
}

void
gw_end_call(struct gw_call *call)
{
	if (call->state == GW_CALL_SENT) {
		gw_cancel(call);
		gw_attempt_drop(call, BL_CANCELLED);
		call->may_have_run = true;
	}
	gw_refuse_stopping(call);
}

/* Refuses a call that must not reach any target. Returns true if it did. */
static bool
refuse_early(struct gw_call *call)
{
	struct gw *gw = call->gw;

	if (gw->stopping && gw_outlasts_stop(call)) {
		gw_refuse_stopping(call);
		return true;
	}
	if (!gw_is_refused_suspect(call))
		return false;
	return gw_stop_suspect(call);
}

static void
reset_call(struct gw_call *call, struct h1_conn *conn,
    const struct h1_message *request)
{
	const char *id =
	    h1_find_header(request, call->gw->params.header_names->request_id);

	call->conn = conn;
	call->request = request;
	call->state = GW_CALL_PLACING;
	call->received_us = cs_now_us();
	call->waited_us = 0;
	call->queued = (struct bl_queue_entry){0};
	call->attempts = call->delivered_attempts = 0;
	call->probes_pending = call->tried_count = 0;
	call->may_have_run = call->is_claiming = false;
	call->tenant = NULL;
	call->quota = NULL;
	call->excluded_data_centres = 0;
	call->trial = 0;
	call->probe_rounds = 0;
	call->target = NULL;
	call->connection = NULL;
	gw_shorten_id(call->id, id == NULL ? "" : id);
	call->fingerprint = fingerprint_of(request);
	h1_conn_set_call(conn, call);
}

/* Takes the call through the routing table in force to its quota. */
static void
route_call(struct gw_call *call)
{
	struct gw *gw = call->gw;
	int64_t retry_after_us;

	if (!gw->loaded) {
		if (!gw_hold(call, &retry_after_us))
			gw_respond_error(
			    call, 503, GW_NO_CONFIGURATION, retry_after_us);
		return;
	}
	call->table = gw->table;
	cs_ref_take(&call->table->ref);
	call->route = rt_table_find(call->table,
	    h1_find_header(call->request, "host"), h1_target(call->request));
	if (call->route == NULL) {
		gw_respond_error(call, 404, GW_NO_ROUTE, 0);
		return;
	}
	set_deadlines(call);
	if (gw_admit(call) && !gw_restrict_to_homes(call) &&
	    !refuse_early(call))
		gw_take_quota(call);
}

/* Takes a call within the quota of its tenant to its first placement. */
static void
admitted(struct gw_call *call)
{
	struct gw *gw = call->gw;

	choose_pool(call);
	if (call->pool == NULL) {
		gw_respond_error(
		    call, 503, GW_NO_TARGET, RETRY_AFTER_NO_POOL_US);
		return;
	}
	gw_count_call(call);
	bl_count_request(
	    call->pool->balance, &gw->params.budget, call->received_us);
	place_call(call);
}

void
gw_release_held_calls(struct gw *gw)
{
	struct gw_call *call;

	while ((call = gw->held) != NULL) {
		gw_dequeue(call);
		route_call(call);
	}
}

const struct gw_callbacks gw_call_callbacks = {
    .attempt_ended = attempt_ended,
    .probe_ended = probe_ended,
    .heard = heard,
    .request_lost = gw_suspect_crash,
    .check_ended = gw_crash_check_ended,
    .place = place_call,
    .resume_held = route_call,
    .admitted = admitted,
    .dispatch_waiting = dispatch_waiting,
};

void
gw_call_begin(
    struct gw *gw, struct h1_conn *conn, const struct h1_message *request)
{
	struct gw_call *call = allocate_call(gw);

	if (call == NULL) {
		h1_conn_send_text(conn, 503, "text/plain", "out of memory\n");
		return;
	}
	gw->counters.calls++;
	call->number = gw->next_number++;
	reset_call(call, conn, request);
	route_call(call);
}

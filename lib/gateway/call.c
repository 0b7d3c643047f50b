/*
 * One request from a caller, from its arrival to its answer. Each step asks
 * lib/balance what to do and carries that out.
 */
#include <stdlib.h>
#include <string.h>

#include "gateway_internal.h"

/* Probes are answered within a few ms; later ones are not waited for. */
#define ASK_WAIT_MS 12
/* First in the own data centre, then in the others of the region. */
#define ASK_ROUNDS_MAX 2
/* Far over a round trip between regions. */
#define CONNECT_WAIT_MS 150
/* A target tells its own time-out; its answer may still be on its way. */
#define TIMEOUT_MARGIN_US 60000
/* Those that wait are placed again at least so often. */
#define PUMP_MS 10
#define WAITING_MAX 512 /* of one pool at one VM */
/* Callers that come back soon find a VM that has its configuration. */
#define RETRY_AFTER_START_US 100000
#define RETRY_AFTER_STOPPING_US 20000
#define RETRY_AFTER_SUSPECT_US 30000000
#define DEADLINE_DEFAULT_MS 60000

static struct gw_call *
new_call(struct gw *gw)
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
	uv_timer_init(gw->params.loop, &call->final);
	uv_timer_init(gw->params.loop, &call->step);
	call->final.data = call->step.data = call;
	return call;
}

static void
leave_list(struct gw_call **at, const struct gw_call *call)
{
	while (*at != NULL && *at != call)
		at = &(*at)->next;
	if (*at == call)
		*at = call->next;
}

/* Takes the call out of whatever it waits in. */
static void
unqueue(struct gw_call *call)
{
	uv_timer_stop(&call->step);
	switch (call->state) {
	case GW_CALL_WAITING:
		leave_list(&call->pool->waiting, call);
		call->pool->waiting_count--;
		break;
	case GW_CALL_ASKING:
		leave_list(&call->pool->asking, call);
		break;
	case GW_CALL_FREE:
	case GW_CALL_PLACING:
	case GW_CALL_SENT:
		break;
	}
	call->state = GW_CALL_PLACING;
}

static void
drop_attempt(struct gw_call *call, enum bl_outcome outcome)
{
	int64_t now_us = cs_now_us();

	if (call->target == NULL)
		return;
	bl_ended(call->target, outcome, now_us - call->started_us, now_us);
	bl_target_drop(call->target);
	call->target = NULL;
}

static void
drop_tried(struct gw_call *call)
{
	uint32_t i;

	for (i = 0; i < call->tried_count; i++)
		bl_target_drop(call->tried[i]);
	call->tried_count = 0;
}

void
gw_call_end(struct gw_call *call, int status, enum gw_reason reason)
{
	struct gw *gw = call->gw;
	int64_t took_us = cs_now_us() - call->received_us;

	gw->counters.ended[reason]++;
	if (reason == GW_ANSWERED)
		cs_histogram_add(&gw->counters.answered, took_us);
	cs_log(
	    reason == GW_ANSWERED ? CS_LOG_CALL_ANSWERED : CS_LOG_CALL_FAILED,
	    "request=%s status=%d reason=%s route=%s%s pool=%s version=%llu "
	    "attempts=%u last=%s waited_us=%lld took_us=%lld",
	    call->id, status, gw_reason_text(reason),
	    call->route == NULL ? "-" : call->route->host,
	    call->route == NULL ? "" : call->route->prefix,
	    call->pool == NULL ? "-" : call->pool->decide->name,
	    call->table == NULL ? 0ULL
				: (unsigned long long)call->table->version,
	    call->attempts,
	    call->attempts == 0 ? "-" : bl_outcome_text(call->outcome),
	    (long long)call->waited_us, (long long)took_us);
	unqueue(call);
	uv_timer_stop(&call->final);
	drop_tried(call);
	rt_table_drop(call->table);
	call->table = NULL;
	call->route = NULL;
	call->pool = NULL;
	call->conn = NULL;
	call->state = GW_CALL_FREE;
	call->next = gw->free_calls;
	gw->free_calls = call;
}

void
gw_call_gone(struct gw_call *call)
{
	struct gw_pool *pool = call->pool;

	call->gw->counters.callers_gone++;
	gw_cancel(call);
	drop_attempt(call, BL_CANCELLED);
	gw_call_end(call, 0, GW_CALLER_GONE);
	if (pool != NULL)
		gw_pool_pump(pool);
}

static void
on_final(uv_timer_t *timer)
{
	struct gw_call *call = timer->data;
	struct gw_pool *pool = call->pool;
	bool sent = call->state == GW_CALL_SENT;

	gw_cancel(call);
	drop_attempt(call, BL_CANCELLED);
	if (sent)
		gw_answer_own(call, 504, GW_TIMED_OUT, 0);
	else
		gw_answer_own(
		    call, 503, GW_TIMED_OUT_WAITING, (int64_t)(PUMP_MS * 1000));
	gw_pool_pump(pool);
}

static void
log_attempt(const struct gw_call *call, const struct bl_placement *placement)
{
	const struct bl_target *target = placement->target;
	int64_t now_us = cs_now_us();

	cs_log(CS_LOG_CALL_SENT,
	    "request=%s attempt=%u target=%s data_centre=%s why=%s "
	    "expected_us=%lld "
	    "load=%u/%u/%u slow_pct=%u load_age_us=%lld in_flight=%u "
	    "failing=%.2f",
	    call->id, call->attempts, target->id,
	    call->gw->params.topology->places[target->place].name,
	    placement->reason, (long long)placement->expected_us,
	    target->load.running, target->load.waiting, target->slots,
	    target->load.slowness_pct,
	    target->load_us == 0 ? -1LL : (long long)(now_us - target->load_us),
	    target->in_flight, target->failing);
}

static void
log_refusal(const struct gw_call *call, const struct bl_placement *placement)
{
	const struct bl_target *best = placement->target;
	int64_t now_us = cs_now_us();

	cs_log(CS_LOG_PLACE_REFUSED,
	    "request=%s why=%s best=%s expected_us=%lld objective_left_us=%lld "
	    "left_us=%lld load=%u/%u/%u slow_pct=%u load_age_us=%lld "
	    "waiting=%u retry_after_us=%lld",
	    call->id, placement->reason, best == NULL ? "-" : best->id,
	    (long long)placement->expected_us,
	    (long long)(call->received_us + call->objective_us - now_us),
	    (long long)(call->due_us - now_us),
	    best == NULL ? 0 : best->load.running,
	    best == NULL ? 0 : best->load.waiting,
	    best == NULL ? 0 : best->slots,
	    best == NULL ? 0 : best->load.slowness_pct,
	    best == NULL || best->load_us == 0
		? -1LL
		: (long long)(now_us - best->load_us),
	    call->pool->waiting_count, (long long)placement->retry_after_us);
}

static void
on_connect_late(uv_timer_t *timer)
{
	struct gw_call *call = timer->data;

	if (call->channel == NULL || h1_channel_connected(call->channel->line))
		return;
	gw_cancel(call);
	gw_call_attempt_ended(call, BL_UNREACHED, NULL);
}

static void
start_attempt(struct gw_call *call, const struct bl_placement *placement)
{
	struct bl_target *target = placement->target;
	int64_t now_us = cs_now_us();

	if (call->attempts == 0) {
		call->waited_us = now_us - call->received_us;
		cs_histogram_add(&call->gw->counters.waited, call->waited_us);
	}
	call->attempts++;
	call->gw->counters.attempts++;
	call->started_us = now_us;
	call->expected_us = placement->expected_us;
	call->target = target;
	cs_ref_take(&target->ref);
	if (call->tried_count < BL_TRIED_MAX) {
		cs_ref_take(&target->ref);
		call->tried[call->tried_count++] = target;
	}
	log_attempt(call, placement);
	bl_started(target, now_us);
	call->state = GW_CALL_SENT;
	if (gw_send(call, target) != CS_OK) {
		gw_call_attempt_ended(call, BL_UNREACHED, NULL);
		return;
	}
	if (!h1_channel_connected(call->channel->line))
		uv_timer_start(
		    &call->step, on_connect_late, CONNECT_WAIT_MS, 0);
}

/* Takes a probe from this VM's share of what the pool's targets bear. */
static bool
may_probe(struct gw_pool *pool)
{
	const struct gw_params *params = &pool->gw->params;
	uint32_t members = params->budget.members;
	int64_t now_us = cs_now_us();
	double rate = params->probes_per_s * pool->decide->count /
		      (members > 0 ? members : 1);

	pool->probe_tokens +=
	    rate * (double)(now_us - pool->probe_tokens_us) / 1e6;
	pool->probe_tokens_us = now_us;
	if (pool->probe_tokens > rate)
		pool->probe_tokens = rate;
	if (pool->probe_tokens < 1.0)
		return false;
	pool->probe_tokens -= 1.0;
	return true;
}

static void
on_ask_over(uv_timer_t *timer)
{
	struct gw_call *call = timer->data;

	unqueue(call);
	call->asked = 0;
	gw_call_place(call);
}

static void
ask(struct gw_call *call, const struct bl_placement *placement)
{
	uint32_t i;

	call->rounds++;
	call->asked = 0;
	for (i = 0; i < placement->probe_count; i++) {
		if (!placement->probes[i]->probing &&
		    (!may_probe(call->pool) ||
			gw_probe(call->gw, placement->probes[i]) != CS_OK))
			continue;
		call->asked_targets[call->asked++] = placement->probes[i];
	}
	if (call->asked == 0) {
		gw_call_place(call);
		return;
	}
	call->state = GW_CALL_ASKING;
	call->next = call->pool->asking;
	call->pool->asking = call;
	uv_timer_start(&call->step, on_ask_over, ASK_WAIT_MS, 0);
}

static void
on_pump_due(uv_timer_t *timer)
{
	gw_pool_pump(timer->data);
}

static bool
is_before(const struct gw_call *a, const struct gw_call *b)
{
	if (a->route->priority != b->route->priority)
		return a->route->priority < b->route->priority;
	return a->received_us < b->received_us;
}

static void
wait_for_room(struct gw_call *call)
{
	struct gw_pool *pool = call->pool;
	struct gw_call **at = &pool->waiting;

	while (*at != NULL && !is_before(call, *at))
		at = &(*at)->next;
	call->next = *at;
	*at = call;
	pool->waiting_count++;
	call->state = GW_CALL_WAITING;
	if (!uv_is_active((uv_handle_t *)&pool->timer))
		uv_timer_start(&pool->timer, on_pump_due, PUMP_MS, 0);
}

static void
place(struct gw_call *call, struct bl_placement *out)
{
	struct bl_request request = {
	    .now_us = cs_now_us(),
	    .objective_us = call->received_us + call->objective_us,
	    .deadline_us = call->due_us,
	    .may_probe = call->rounds<ASK_ROUNDS_MAX, .asking = call->asked> 0,
	    .may_wait = call->pool->waiting_count < WAITING_MAX,
	    .tie = cs_hash_pair(call->number, call->attempts),
	};
	uint32_t i;

	for (i = 0; i < call->tried_count; i++)
		request.tried[i] = call->tried[i];
	request.tried_count = call->tried_count;
	bl_place(call->gw->params.topology, call->pool->decide, &request, out);
}

static void
carry_out(struct gw_call *call, const struct bl_placement *placement)
{
	switch (placement->verdict) {
	case BL_SEND:
		start_attempt(call, placement);
		break;
	case BL_ASK:
		ask(call, placement);
		break;
	case BL_WAIT:
		wait_for_room(call);
		break;
	case BL_REFUSE:
		log_refusal(call, placement);
		gw_answer_own(call, 503,
		    strcmp(placement->reason, "no_target") == 0 ? GW_NO_TARGET
								: GW_NO_ROOM,
		    placement->retry_after_us);
		break;
	}
}

/* Others that are at least as urgent wait already. */
static bool
must_queue(const struct gw_call *call)
{
	const struct gw_call *first = call->pool->waiting;

	return first != NULL && call->attempts == 0 && is_before(first, call);
}

void
gw_call_place(struct gw_call *call)
{
	struct bl_placement placement;

	place(call, &placement);
	if (placement.verdict == BL_SEND && must_queue(call))
		placement.verdict = BL_WAIT;
	carry_out(call, &placement);
}

void
gw_pool_pump(struct gw_pool *pool)
{
	struct gw_call *call;

	while ((call = pool->waiting) != NULL) {
		struct bl_placement placement;

		place(call, &placement);
		if (placement.verdict == BL_WAIT)
			break;
		if (placement.verdict == BL_ASK) { /* it stays in its place */
			uint32_t i;

			for (i = 0; i < placement.probe_count; i++) {
				if (may_probe(pool))
					gw_probe(pool->gw, placement.probes[i]);
			}
			break;
		}
		unqueue(call);
		carry_out(call, &placement);
	}
	if (pool->waiting != NULL && !uv_is_active((uv_handle_t *)&pool->timer))
		uv_timer_start(&pool->timer, on_pump_due, PUMP_MS, 0);
}

/* True when the call is to be placed now. */
static bool
settle(struct gw_call *call, const struct bl_target *target,
    struct bl_placement *placement)
{
	uint32_t i;

	for (i = 0; i < call->asked; i++) {
		if (call->asked_targets[i] == target) {
			call->asked_targets[i] =
			    call->asked_targets[--call->asked];
			place(call, placement);
			return placement->verdict != BL_ASK;
		}
	}
	return false;
}

void
gw_call_probe_ended(struct gw_pool *pool, struct bl_target *target)
{
	struct gw_call *call = pool->asking, *next;

	for (; call != NULL; call = next) {
		struct bl_placement placement;

		next = call->next;
		if (!settle(call, target, &placement))
			continue;
		unqueue(call);
		call->asked = 0;
		carry_out(call, &placement);
		next = pool->asking; /* the list may have changed */
	}
	gw_pool_pump(pool);
}

static bool
attempts_left(const struct gw_call *call)
{
	return call->attempts < call->route->attempts_max &&
	       call->tried_count < BL_TRIED_MAX &&
	       cs_now_us() < call->due_us - TIMEOUT_MARGIN_US;
}

static enum bl_step
next_step(struct gw_call *call, enum bl_outcome outcome)
{
	enum bl_step step =
	    bl_next_step(outcome, call->route->kind, attempts_left(call));

	if (step != BL_AGAIN || !bl_arrived(outcome))
		return step;
	if (bl_is_poison(&call->gw->poison, call->fingerprint, cs_now_us()) ||
	    !bl_may_retry(
		call->pool->decide, &call->gw->params.budget, cs_now_us()))
		return bl_without_retry(outcome);
	call->gw->counters.retries++;
	return step;
}

/* An answer of these would promise callers what its target did not. */
static bool
would_promise(int status)
{
	return status == 503 || status == 429 || status == 408 || status == 421;
}

static enum gw_reason
reason_of(enum bl_outcome outcome)
{
	switch (outcome) {
	case BL_SERVED:
		return GW_ANSWERED;
	case BL_FAILED:
		return GW_TARGET_FAILED;
	case BL_SHED:
		return GW_SHED;
	case BL_MISPLACED:
	case BL_UNREACHED:
		return GW_NOT_REACHED;
	case BL_LOST:
		return GW_LOST_AT_TARGET;
	case BL_GARBLED:
		return GW_BAD_ANSWER;
	case BL_CANCELLED:
		return GW_TIMED_OUT;
	}
	return GW_BAD_ANSWER;
}

static void
relay(struct gw_call *call, enum bl_outcome outcome,
    const struct h1_message *answer)
{
	if (outcome == BL_FAILED && would_promise(answer->status))
		gw_answer_own(call, 502, GW_TARGET_FAILED, 0);
	else
		gw_answer_relay(call, answer);
}

void
gw_call_attempt_ended(struct gw_call *call, enum bl_outcome outcome,
    const struct h1_message *answer)
{
	struct gw_pool *pool = call->pool;
	const struct bl_target *target = call->target;
	enum bl_step step;

	uv_timer_stop(&call->step);
	cs_histogram_add(
	    &call->gw->counters.at_target, cs_now_us() - call->started_us);
	if (outcome == BL_SERVED)
		bl_ran_well(&call->gw->poison, call->fingerprint);
	else
		cs_log(CS_LOG_ATTEMPT_FAILED,
		    "request=%s attempt=%u target=%s outcome=%s status=%d "
		    "took_us=%lld expected_us=%lld",
		    call->id, call->attempts, target == NULL ? "-" : target->id,
		    bl_outcome_text(outcome),
		    answer == NULL ? 0 : answer->status,
		    (long long)(cs_now_us() - call->started_us),
		    (long long)call->expected_us);
	drop_attempt(call, outcome);
	call->state = GW_CALL_PLACING;
	call->outcome = outcome;
	step = next_step(call, outcome);
	switch (step) {
	case BL_RELAY:
		relay(call, outcome, answer);
		break;
	case BL_AGAIN:
		gw_call_place(call);
		break;
	case BL_FAIL_NOT_RUN:
		gw_answer_own(call, 503, reason_of(outcome),
		    (int64_t)(PUMP_MS * 1000 * 5));
		break;
	case BL_FAIL_UNKNOWN:
		gw_answer_own(call, 502, reason_of(outcome), 0);
		break;
	}
	gw_pool_pump(pool);
}

static uint64_t
fingerprint_of(const struct h1_conn *conn, const struct h1_message *request)
{
	uint64_t hash = cs_hash(h1_target(request), strlen(h1_target(request)));

	hash = cs_hash_seeded(request->method, strlen(request->method), hash);
	hash =
	    cs_hash_seeded(request->body.data == NULL ? "" : request->body.data,
		request->body.length, hash);
	hash = cs_hash_pair(hash, h1_conn_peer(conn));
	return hash == 0 ? 1 : hash;
}

static int64_t
deadline_ms_of(const struct gw *gw, const struct h1_message *request)
{
	const char *text = h1_find(request, gw->params.dialect->deadline);
	char *end;
	long long value;

	if (text == NULL)
		return DEADLINE_DEFAULT_MS;
	value = strtoll(text, &end, 10);
	return end == text || value < 0 || value > DEADLINE_DEFAULT_MS
		   ? DEADLINE_DEFAULT_MS
		   : value;
}

static void
set_times(struct gw_call *call)
{
	int64_t left_ms = deadline_ms_of(call->gw, call->request);
	int64_t due_ms = call->route->timeout_ms;

	if (left_ms < due_ms)
		due_ms = left_ms;
	call->objective_us = (int64_t)call->route->objective_ms * 1000;
	if (call->objective_us == 0)
		call->objective_us = due_ms * 1000;
	call->due_us = call->received_us + due_ms * 1000;
	uv_timer_start(&call->final, on_final,
	    (uint64_t)(due_ms + TIMEOUT_MARGIN_US / 1000), 0);
}

static void
choose_pool(struct gw_call *call)
{
	const struct rt_route *route = call->route;
	uint32_t backend = bl_pick_backend(route, call->number);

	call->pool = gw_pool_of(call->gw, route->backends[backend].pool_name);
}

/* Refuses what must not go to a target at all; true when it did. */
static bool
turn_away(struct gw_call *call)
{
	struct gw *gw = call->gw;

	if (gw->stopping && call->due_us > gw->stop_us) {
		gw_answer_own(call, 503, GW_STOPPING, RETRY_AFTER_STOPPING_US);
		return true;
	}
	if (bl_is_poison(&gw->poison, call->fingerprint, cs_now_us())) {
		gw_answer_own(call, 503, GW_SUSPECT, RETRY_AFTER_SUSPECT_US);
		return true;
	}
	return false;
}

static void
reset(struct gw_call *call, struct h1_conn *conn,
    const struct h1_message *request)
{
	const char *id = h1_find(request, call->gw->params.dialect->request_id);

	call->conn = conn;
	call->request = request;
	call->state = GW_CALL_PLACING;
	call->received_us = cs_now_us();
	call->waited_us = 0;
	call->attempts = call->asked = call->tried_count = 0;
	call->rounds = 0;
	call->target = NULL;
	call->channel = NULL;
	call->id[0] = '\0';
	if (id != NULL && strlen(id) < sizeof(call->id))
		strcpy(call->id, id);
	call->fingerprint = fingerprint_of(conn, request);
	call->table = call->gw->table;
	if (call->table != NULL)
		cs_ref_take(&call->table->ref);
	h1_conn_set_call(conn, call);
}

void
gw_call_begin(
    struct gw *gw, struct h1_conn *conn, const struct h1_message *request)
{
	struct gw_call *call = new_call(gw);

	if (call == NULL) {
		h1_conn_reply(conn, 503, "text/plain", "out of memory\n");
		return;
	}
	gw->counters.calls++;
	call->number = gw->numbers++;
	reset(call, conn, request);
	if (call->table == NULL) {
		gw_answer_own(
		    call, 503, GW_NO_CONFIGURATION, RETRY_AFTER_START_US);
		return;
	}
	call->route = rt_table_find(
	    call->table, h1_find(request, "host"), h1_target(request));
	if (call->route == NULL) {
		gw_answer_own(call, 404, GW_NO_ROUTE, 0);
		return;
	}
	set_times(call);
	if (turn_away(call))
		return;
	choose_pool(call);
	if (call->pool == NULL) {
		gw_answer_own(call, 503, GW_NO_TARGET, RETRY_AFTER_START_US);
		return;
	}
	bl_count_request(
	    call->pool->decide, &gw->params.budget, call->received_us);
	gw_call_place(call);
}

/* The random-order driver; see driver.h. */
#include "driver.h"

#include <stdlib.h>
#include <string.h>

#include "../../lib/base/base.h"
#include "../../lib/decide/decide.h"

#define CORES 3
#define TARGETS 4
#define CALLS_MAX 4096	  /* open at one time */
#define KEYS_MAX 512	  /* of which resends are made */
#define QUEUE_MAX 4096	  /* messages on one link */
#define CHECK_INTERVAL 97 /* steps between checks of the whole state */
#define DEADLINE_US 400000

struct attempt {
	bool live, sent, relayed;
	uint64_t number;
	bool forwarded;
	uint64_t home;
	int64_t forward_call; /* call at the home that serves it, -1: none */
};

struct call {
	bool open;
	int core;
	uint64_t id;
	bool idempotent;
	int key;    /* index, -1: none */
	bool ran;   /* an attempt at a target was sent */
	int parent; /* call that was forwarded here, -1: none */
	struct attempt attempts[DC_ATTEMPTS_MAX];
};

struct key {
	struct dc_key key;
	uint32_t runs;
	bool killed; /* a caller was told that it never ran, by a kill */
	bool claimed_in_store;
};

struct queue {
	struct dc_message items[QUEUE_MAX];
	uint32_t head, count;
};

struct world {
	struct fz_result *result;
	struct cs_random random;
	const uint8_t *bytes;
	size_t bytes_left;
	int64_t now_us;
	struct dc_core *cores[CORES];
	uint64_t epochs[CORES];
	bool believed[CORES][CORES]; /* row thinks that column is alive */
	struct queue links[CORES][CORES];
	struct call calls[CALLS_MAX];
	struct key keys[KEYS_MAX];
	uint32_t key_count;
	uint64_t next_call;
	uint64_t version;
	struct dc_actions actions;
};

static uint32_t
draw(struct world *w, uint32_t bound)
{
	if (w->bytes != NULL) {
		if (w->bytes_left == 0)
			return 0;
		w->bytes_left--;
		return *w->bytes++ % bound;
	}
	return cs_random_below(&w->random, bound);
}

static void
fault(struct world *w, const char *text)
{
	if (w->result->fault == NULL)
		w->result->fault = text;
}

static uint64_t
core_id(int core)
{
	return 1000 + (uint64_t)core;
}

static int
core_of(uint64_t id)
{
	return (int)(id - 1000);
}

static struct call *
find_call(struct world *w, int core, uint64_t id)
{
	int i;

	for (i = 0; i < CALLS_MAX; i++) {
		if (w->calls[i].open && w->calls[i].core == core &&
		    w->calls[i].id == id)
			return &w->calls[i];
	}
	return NULL;
}

static struct attempt *
find_attempt(struct call *call, uint64_t number)
{
	int i;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		if (call->attempts[i].live &&
		    call->attempts[i].number == number)
			return &call->attempts[i];
	}
	return NULL;
}

static void step(struct world *w, int core, const struct dc_event *event);

static void
add_attempt(struct world *w, struct call *call, const struct dc_send *send,
    bool forwarded)
{
	int i;

	for (i = 0; i < DC_ATTEMPTS_MAX; i++) {
		if (call->attempts[i].live)
			continue;
		call->attempts[i] = (struct attempt){
		    .live = true,
		    .number = send->attempt,
		    .forwarded = forwarded,
		    .home = send->target,
		    .forward_call = -1,
		};
		return;
	}
	fault(w, "more attempts than allowed");
}

static void
end_call(struct world *w, struct call *call, bool not_run, bool unknown)
{
	struct key *key = call->key >= 0 ? &w->keys[call->key] : NULL;

	call->open = false;
	w->result->not_run += not_run;
	w->result->unknown += unknown;
	if (not_run && call->ran)
		fault(w, "told not-run, but it ran");
	if (not_run && key != NULL && key->runs > 0 && key->killed)
		fault(w, "a killed key had run");
}

static void
on_refuse(struct world *w, struct call *call, const struct dc_refuse *refuse)
{
	bool not_run = refuse->outcome == DC_OUTCOME_NOT_RUN;

	if (not_run && refuse->reason == DC_REASON_KEY_KILLED && call->key >= 0)
		w->keys[call->key].killed = true;
	end_call(w, call, not_run, !not_run);
}

static void
on_replay(struct world *w, struct call *call)
{
	if (call->key < 0 || w->keys[call->key].runs == 0)
		fault(w, "an answer was replayed that never was");
	w->result->replays++;
	end_call(w, call, false, false);
}

static void
queue_message(struct world *w, int from, int to, const struct dc_message *m)
{
	struct queue *queue = &w->links[from][to];

	if (queue->count == QUEUE_MAX)
		return;
	queue->items[(queue->head + queue->count) % QUEUE_MAX] = *m;
	queue->count++;
}

static void
send_message(struct world *w, int from, const struct dc_envelope *envelope)
{
	int to;

	if (envelope->peer != 0) {
		queue_message(
		    w, from, core_of(envelope->peer), &envelope->message);
		return;
	}
	for (to = 0; to < CORES; to++) {
		if (to != from)
			queue_message(w, from, to, &envelope->message);
	}
}

static void
claim_in_store(struct world *w, int core, struct call *call)
{
	struct key *key = &w->keys[call->key];
	enum dc_store_result result = DC_STORE_UNAVAILABLE;
	uint32_t luck = draw(w, 8);

	if (luck != 0) {
		result = key->claimed_in_store ? DC_STORE_CONFLICT
					       : DC_STORE_CLAIMED;
		key->claimed_in_store = true;
	}
	step(w, core,
	    &(struct dc_event){
		.type = DC_EV_STORE_CLAIMED,
		.store_claimed = {.call = call->id, .result = result},
	    });
}

static void
perform(struct world *w, int core, const struct dc_action *action)
{
	struct call *call = NULL;
	struct attempt *attempt;

	if (action->type == DC_ACT_MESSAGE) {
		send_message(w, core, &action->message);
		return;
	}
	if (action->type == DC_ACT_RETIRE_CONNECTIONS)
		return;
	call = find_call(w, core, action->fields[0]);
	if (call == NULL) {
		fault(w, "an action for a call that has ended");
		return;
	}
	attempt = find_attempt(call, action->fields[1]);
	switch (action->type) {
	case DC_ACT_SEND:
		add_attempt(w, call, &action->send, false);
		return;
	case DC_ACT_FORWARD:
		add_attempt(w, call, &action->forward, true);
		return;
	case DC_ACT_CANCEL:
		if (attempt == NULL)
			fault(w, "an unknown attempt was cancelled");
		else
			attempt->live = false;
		return;
	case DC_ACT_RELAY:
		if (attempt == NULL || !attempt->sent)
			fault(w, "an answer was relayed that is not there");
		else
			attempt->relayed = true;
		return;
	case DC_ACT_REFUSE:
		on_refuse(w, call, &action->refuse);
		return;
	case DC_ACT_REPLAY:
		on_replay(w, call);
		return;
	case DC_ACT_ABORT:
	case DC_ACT_DONE:
		end_call(w, call, false, false);
		return;
	case DC_ACT_STORE_CLAIM:
		claim_in_store(w, core, call);
		return;
	default:
		fault(w, "an unknown action");
	}
}

static void
step(struct world *w, int core, const struct dc_event *event)
{
	struct dc_actions *actions = calloc(1, sizeof(*actions));
	uint32_t i;

	dc_step(w->cores[core], event, w->now_us, actions);
	for (i = 0; i < actions->count; i++)
		perform(w, core, &actions->items[i]);
	free(actions);
}

static void
load_table(struct world *w, int core)
{
	int i;

	step(w, core,
	    &(struct dc_event){.type = DC_EV_TABLE_BEGIN,
		.table_begin = {.version = w->version}});
	for (i = 0; i < 2; i++) {
		int j;

		step(w, core,
		    &(struct dc_event){.type = DC_EV_TABLE_POOL,
			.table_pool = {.pool = 10 + (uint64_t)i}});
		for (j = 0; j < TARGETS; j++) {
			if (w->version % 5 == (uint64_t)j)
				continue; /* this version lacks a target */
			step(w, core,
			    &(struct dc_event){.type = DC_EV_TABLE_TARGET,
				.table_target = {
				    .target = 100 + (uint64_t)(i * TARGETS + j),
				    .region = 1 + (uint64_t)j % 2,
				    .slots = 1 + (uint64_t)j % 3,
				    .drain = w->version % 7 == (uint64_t)j,
				}});
		}
	}
	for (i = 0; i < 4; i++)
		step(w, core,
		    &(struct dc_event){.type = DC_EV_TABLE_ROUTE,
			.table_route = {
			    .route = 20 + (uint64_t)i,
			    .pool = 10 + (uint64_t)i % 2,
			    .weight = 1 + (uint64_t)i,
			    .idempotent = i < 2,
			}});
	step(w, core, &(struct dc_event){.type = DC_EV_TABLE_END});
}

static void
tell_peer(struct world *w, int core, int peer, enum dc_peer_state state)
{
	w->believed[core][peer] = state == DC_PEER_ALIVE;
	step(w, core,
	    &(struct dc_event){.type = DC_EV_PEER,
		.peer = {
		    .peer = core_id(peer),
		    .epoch = w->epochs[peer],
		    .region = 1 + (uint64_t)peer % 2,
		    .state = state,
		}});
}

static void
start_core(struct world *w, int core)
{
	int peer;

	w->epochs[core]++;
	w->cores[core] = dc_core_create(w->epochs[core] * 31 + (uint64_t)core);
	step(w, core,
	    &(struct dc_event){.type = DC_EV_SELF,
		.self = {
		    .peer = core_id(core),
		    .epoch = w->epochs[core],
		    .region = 1 + (uint64_t)core % 2,
		}});
	load_table(w, core);
	for (peer = 0; peer < CORES; peer++) {
		if (peer == core || w->cores[peer] == NULL)
			continue;
		tell_peer(w, core, peer, DC_PEER_ALIVE);
		tell_peer(w, peer, core, DC_PEER_ALIVE);
	}
}

/* The process dies: its calls vanish with it, its links break. */
static void
restart_core(struct world *w, int core)
{
	int i;

	w->result->restarts++;
	for (i = 0; i < CALLS_MAX; i++) {
		if (w->calls[i].open && w->calls[i].core == core)
			w->calls[i].open = false;
	}
	for (i = 0; i < CORES; i++) {
		w->links[core][i].count = 0;
		w->links[i][core].count = 0;
	}
	dc_core_free(w->cores[core]);
	w->cores[core] = NULL;
	start_core(w, core);
}

static int
new_key(struct world *w, int core)
{
	uint32_t slot = w->key_count % KEYS_MAX;
	struct key *key = &w->keys[slot];

	if (w->key_count >= KEYS_MAX)
		return (int)draw(w, KEYS_MAX); /* enough: resend an old one */
	w->key_count++;
	*key = (struct key){
	    .key =
		{
		    .a = w->key_count * 77 + 5,
		    .b = w->key_count,
		    .scope = draw(w, 4) == 0 ? DC_KEY_STORE : DC_KEY_HOME,
		},
	};
	if (key->key.scope == DC_KEY_HOME) {
		int issuer = (int)draw(w, CORES);

		key->key.home = core_id(core);
		key->key.home_epoch = w->epochs[core];
		dc_key_token_witness(w->cores[issuer], issuer == core,
		    &key->key.witness, &key->key.witness_epoch,
		    &key->key.window);
	}
	return (int)slot;
}

static int
open_call(struct world *w, int core, int key, uint64_t route, int parent)
{
	int i;

	for (i = 0; i < CALLS_MAX && w->calls[i].open; i++)
		;
	if (i == CALLS_MAX)
		return -1;
	w->calls[i] = (struct call){
	    .open = true,
	    .core = core,
	    .id = ++w->next_call,
	    .idempotent = route < 22,
	    .key = key,
	    .parent = parent,
	};
	w->result->calls++;
	step(w, core,
	    &(struct dc_event){.type = DC_EV_CALL_ARRIVED,
		.arrived = {
		    .call = w->calls[i].id,
		    .route = route,
		    .member = draw(w, 3),
		    .fingerprint = w->calls[i].id + (key >= 0 ? 0 : 1),
		    .deadline_us = w->now_us + DEADLINE_US,
		    .forwarded = parent >= 0,
		    .key = key >= 0 ? w->keys[key].key
				    : (struct dc_key){.scope = DC_KEY_NONE},
		}});
	return i;
}

static void
arrive(struct world *w)
{
	int core = (int)draw(w, CORES), key = -1;
	uint64_t route = 20 + draw(w, 4);

	if (route >= 22 && draw(w, 5) != 0)
		key = w->key_count > 0 && draw(w, 2) == 0
			  ? (int)draw(w, w->key_count > KEYS_MAX ? KEYS_MAX
								 : w->key_count)
			  : new_key(w, core);
	open_call(w, core, key, route, -1);
}

static void
deliver_one(struct world *w, int from, int to)
{
	struct queue *queue = &w->links[from][to];
	struct dc_message message;

	if (queue->count == 0)
		return;
	message = queue->items[queue->head];
	queue->head = (queue->head + 1) % QUEUE_MAX;
	queue->count--;
	step(w, to,
	    &(struct dc_event){.type = DC_EV_MESSAGE,
		.message = {.peer = core_id(from), .message = message}});
}

static void
deliver(struct world *w)
{
	int from = (int)draw(w, CORES);

	deliver_one(w, from, (int)draw(w, CORES));
}

static void
end_attempt(struct world *w, struct call *call, struct attempt *attempt,
    enum dc_result result)
{
	uint64_t number = attempt->number;

	attempt->live = false;
	step(w, call->core,
	    &(struct dc_event){.type = DC_EV_ATTEMPT_ENDED,
		.ended = {call->id, number, result}});
}

static void
send_attempt(struct world *w, struct call *call, struct attempt *attempt)
{
	attempt->sent = true;
	if (!attempt->forwarded) {
		call->ran = true;
		w->result->runs++;
		if (call->key >= 0 && ++w->keys[call->key].runs > 1)
			fault(w, "a key ran twice");
		if (call->key >= 0 && w->keys[call->key].killed)
			fault(w, "a killed key ran");
	}
	step(w, call->core,
	    &(struct dc_event){.type = DC_EV_ATTEMPT_SENT,
		.sent = {call->id, attempt->number, draw(w, 2)}});
	if (attempt->live && attempt->forwarded)
		attempt->forward_call = open_call(w, core_of(attempt->home),
		    call->key, 22 + call->id % 2, (int)(call - w->calls));
}

static void
head(struct world *w, struct call *call, struct attempt *attempt)
{
	uint64_t status = draw(w, 10) == 0 ? 503 : 200;

	step(w, call->core,
	    &(struct dc_event){.type = DC_EV_ATTEMPT_HEAD,
		.head = {call->id, attempt->number, status}});
}

/* A live attempt, from a random call on. */
static struct attempt *
choose_attempt(struct world *w, struct call **call)
{
	uint32_t i, start = draw(w, 256) * 16 + draw(w, 16);

	for (i = 0; i < CALLS_MAX; i++) {
		struct call *c = &w->calls[(start + i) % CALLS_MAX];
		struct attempt *attempt =
		    &c->attempts[(start + i / 7) % DC_ATTEMPTS_MAX];

		if (!c->open || !attempt->live)
			continue;
		*call = c;
		return attempt;
	}
	return NULL;
}

/* Moves one attempt one stage on, mostly well, sometimes not. */
static void
progress(struct world *w)
{
	struct call *call;
	struct attempt *attempt = choose_attempt(w, &call);
	bool lucky = draw(w, 12) != 0;

	if (attempt == NULL)
		return;
	if (!attempt->sent && !lucky)
		end_attempt(w, call, attempt, DC_RESULT_NOT_SENT);
	else if (!attempt->sent)
		send_attempt(w, call, attempt);
	else if (!attempt->relayed && !lucky)
		end_attempt(w, call, attempt, DC_RESULT_CONNECTION_LOST);
	else if (!attempt->relayed)
		head(w, call, attempt);
	else
		end_attempt(w, call, attempt,
		    lucky ? DC_RESULT_COMPLETE : DC_RESULT_TRUNCATED);
}

static void
leave(struct world *w)
{
	struct call *call = &w->calls[draw(w, 256)];
	uint64_t id = call->id;

	if (!call->open)
		return;
	step(w, call->core,
	    &(struct dc_event){
		.type = DC_EV_CALLER_DISCONNECTED, .disconnected = {id}});
	call->open = false;
}

static void
mend_link(struct world *w, int a, int b)
{
	w->links[a][b].count = 0;
	w->links[b][a].count = 0;
	step(
	    w, a, &(struct dc_event){.type = DC_EV_LINK, .link = {core_id(b)}});
	step(
	    w, b, &(struct dc_event){.type = DC_EV_LINK, .link = {core_id(a)}});
}

static void
break_link(struct world *w)
{
	int a = (int)draw(w, CORES), b = (int)draw(w, CORES);

	if (a != b)
		mend_link(w, a, b);
}

static void
misjudge(struct world *w)
{
	int a = (int)draw(w, CORES), b = (int)draw(w, CORES);

	if (a != b)
		tell_peer(
		    w, a, b, w->believed[a][b] ? DC_PEER_DEAD : DC_PEER_ALIVE);
}

static void
pass_time(struct world *w)
{
	int core = (int)draw(w, CORES);

	w->now_us += 1 + draw(w, 200) * 20;
	if (dc_next_timer_us(w->cores[core]) <= w->now_us)
		step(w, core, &(struct dc_event){.type = DC_EV_TIMER});
}

static void
reload(struct world *w)
{
	int core;

	w->version++;
	for (core = 0; core < CORES; core++)
		load_table(w, core);
}

static void
act(struct world *w)
{
	uint32_t choice = draw(w, 250);

	if (choice < 60)
		arrive(w);
	else if (choice < 130)
		deliver(w);
	else if (choice < 200)
		progress(w);
	else if (choice < 244)
		pass_time(w);
	else if (choice < 246)
		leave(w);
	else if (choice < 247)
		break_link(w);
	else if (choice < 248)
		misjudge(w);
	else if (choice < 249 && draw(w, 40) == 0)
		reload(w);
	else if (draw(w, 100) == 0)
		restart_core(w, (int)draw(w, CORES));
}

static void
check(struct world *w)
{
	const char *text;
	int core;

	for (core = 0; core < CORES; core++) {
		text = dc_check(w->cores[core]);
		if (text != NULL)
			fault(w, text);
	}
}

/* Delivers everything that is under way, in turn. */
static void
deliver_all(struct world *w)
{
	int from, to, round;

	for (round = 0; round < 64; round++) {
		for (from = 0; from < CORES; from++) {
			for (to = 0; to < CORES; to++) {
				while (w->links[from][to].count > 0)
					deliver_one(w, from, to);
			}
		}
	}
}

/* Ends every attempt well, until none is left. */
static void
finish_attempts(struct world *w)
{
	int i, j;

	for (i = 0; i < CALLS_MAX; i++) {
		struct call *call = &w->calls[i];

		for (j = 0; j < DC_ATTEMPTS_MAX; j++) {
			struct attempt *a = &call->attempts[j];

			if (call->open && a->live && a->relayed)
				end_attempt(w, call, a, DC_RESULT_COMPLETE);
		}
	}
}

/* What the holders hold of a target has to be what its owner gave out. */
static void
check_leases(struct world *w)
{
	struct dc_target_info info;
	uint64_t target;
	int core;

	for (target = 100; target < 100 + 2 * TARGETS; target++) {
		uint32_t i, leased = 0, granted = 0;

		for (core = 0; core < CORES; core++) {
			for (i = 0;
			     dc_target_info(w->cores[core], i, &info) == CS_OK;
			     i++) {
				if (info.id != target)
					continue;
				leased += info.leased;
				granted += info.granted;
			}
		}
		if (leased != granted)
			fault(w, "a slot is stuck");
	}
}

/* With no more faults, every call has to end and no slot may be stuck. */
static void
settle(struct world *w)
{
	int core, peer, i, round;

	for (core = 0; core < CORES; core++) {
		for (peer = 0; peer < CORES; peer++) {
			if (peer != core)
				tell_peer(w, core, peer, DC_PEER_ALIVE);
		}
	}
	for (core = 0; core < CORES; core++) {
		for (peer = 0; peer < core; peer++)
			mend_link(w, core, peer);
	}
	for (round = 0; round < 60; round++) {
		w->now_us += DEADLINE_US / 20;
		for (core = 0; core < CORES; core++)
			step(w, core, &(struct dc_event){.type = DC_EV_TIMER});
		deliver_all(w);
		finish_attempts(w);
	}
	for (i = 0; i < CALLS_MAX; i++) {
		if (w->calls[i].open)
			fault(w, "a call never ended");
	}
	check_leases(w);
}

static void
run(struct world *w, uint64_t steps, struct fz_result *result)
{
	int core;

	*result = (struct fz_result){0};
	w->result = result;
	w->version = 1;
	w->now_us = 1000;
	for (core = 0; core < CORES; core++)
		start_core(w, core);
	while (result->steps < steps && result->fault == NULL &&
	       (w->bytes == NULL || w->bytes_left > 0)) {
		act(w);
		if (++result->steps % CHECK_INTERVAL == 0)
			check(w);
	}
	if (result->fault == NULL)
		check(w);
	if (result->fault == NULL)
		settle(w);
	for (core = 0; core < CORES; core++)
		dc_core_free(w->cores[core]);
	free(w);
}

void
fz_run_seed(uint64_t seed, uint64_t steps, struct fz_result *result)
{
	struct world *w = calloc(1, sizeof(*w));

	cs_random_seed(&w->random, seed);
	run(w, steps, result);
}

void
fz_run_bytes(const uint8_t *bytes, size_t count, struct fz_result *result)
{
	struct world *w = calloc(1, sizeof(*w));

	w->bytes = bytes;
	w->bytes_left = count;
	run(w, UINT64_MAX, result);
}

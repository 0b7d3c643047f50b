/* Simulates decision cores under events in random order; see driver.h. */
#include "driver.h"

#include <stdlib.h>
#include <string.h>

#include "../../lib/base/base.h"
#include "../../lib/decide/decide.h"

#define CORE_COUNT 3
#define TARGETS_PER_POOL 4
#define CALLS_MAX 4096		/* open at the same time */
#define KEYS_MAX 512		/* keys that resends choose from */
#define QUEUE_MAX 4096		/* messages in transit on one link */
#define CHECK_INTERVAL_STEPS 97 /* steps between checks of the whole state */
#define DEADLINE_US 400000

struct attempt {
	bool live, sent, relayed;
	uint64_t number;
	bool forwarded;
	uint64_t home;
	int64_t forward_call; /* call at the home, -1: none */
};

struct call {
	bool open;
	int core;
	uint64_t id;
	bool idempotent;
	int key;		/* index in keys[], -1: none */
	bool ran;		/* an attempt was sent to a target */
	bool heard[CORE_COUNT]; /* alive when its bare key was claimed */
	int parent;		/* call that it was forwarded from, -1: none */
	struct attempt attempts[DC_ATTEMPTS_MAX];
};

struct key {
	struct dc_key key;
	uint32_t runs; /* attempts sent to a target */
	bool killed; /* a caller was told not-run because the key was killed */
	bool claimed_in_store;
	bool claim_lost;   /* a restore of the store has lost a claim */
	uint64_t lost_era; /* that began with the last such restore */
	int run_core;	   /* process that ran it */
	uint64_t run_epoch;
};

struct queue {
	struct dc_message items[QUEUE_MAX];
	uint32_t head, count;
};

struct simulation {
	struct fz_result *result;
	struct cs_random random;
	const uint8_t *bytes;
	size_t bytes_left;
	int64_t now_us;
	struct dc_core *cores[CORE_COUNT];
	uint64_t epochs[CORE_COUNT];
	uint64_t start_eras[CORE_COUNT]; /* of the store, at the start */
	/* [i][j]: core i was told that core j is alive */
	bool considered_alive[CORE_COUNT][CORE_COUNT];
	struct queue links[CORE_COUNT][CORE_COUNT];
	struct call calls[CALLS_MAX];
	struct key keys[KEYS_MAX];
	uint32_t key_count;
	uint64_t next_call;
	uint64_t version;
	uint64_t store_era;
	struct dc_actions actions;
};

static uint32_t
random_below(struct simulation *sim, uint32_t bound)
{
	if (sim->bytes != NULL) {
		if (sim->bytes_left == 0)
			return 0;
		sim->bytes_left--;
		return *sim->bytes++ % bound;
	}
	return cs_random_below(&sim->random, bound);
}

static void
report_violation(struct simulation *sim, const char *text)
{
	if (sim->result->fault == NULL)
		sim->result->fault = text;
}

static uint64_t
core_id(int core)
{
	return 1000 + (uint64_t)core;
}

static int
core_index(uint64_t id)
{
	return (int)(id - 1000);
}

static struct call *
find_call(struct simulation *sim, int core, uint64_t id)
{
	int i;

	for (i = 0; i < CALLS_MAX; i++) {
		if (sim->calls[i].open && sim->calls[i].core == core &&
		    sim->calls[i].id == id)
			return &sim->calls[i];
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

static void step_core(
    struct simulation *sim, int core, const struct dc_event *event);

static void
add_attempt(struct simulation *sim, struct call *call,
    const struct dc_send *send, bool forwarded)
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
	report_violation(sim, "a call has more attempts than allowed");
}

static void
end_call(struct simulation *sim, struct call *call, bool not_run, bool unknown)
{
	struct key *key = call->key >= 0 ? &sim->keys[call->key] : NULL;

	call->open = false;
	sim->result->not_run += not_run;
	sim->result->unknown += unknown;
	if (not_run && call->ran)
		report_violation(
		    sim, "a call was refused as not-run, but it ran");
	if (not_run && key != NULL && key->runs > 0 && key->killed)
		report_violation(sim, "a call with a killed key was refused as "
				      "not-run, but it ran");
}

static void
on_refuse(
    struct simulation *sim, struct call *call, const struct dc_refuse *refuse)
{
	bool not_run = refuse->outcome == DC_OUTCOME_NOT_RUN;

	if (not_run && refuse->reason == DC_REASON_KEY_KILLED && call->key >= 0)
		sim->keys[call->key].killed = true;
	end_call(sim, call, not_run, !not_run);
}

static void
on_replay(struct simulation *sim, struct call *call)
{
	if (call->key < 0 || sim->keys[call->key].runs == 0)
		report_violation(
		    sim, "a response was replayed for a key that never ran");
	sim->result->replays++;
	end_call(sim, call, false, false);
}

static void
queue_message(
    struct simulation *sim, int from, int to, const struct dc_message *m)
{
	struct queue *queue = &sim->links[from][to];

	if (queue->count == QUEUE_MAX)
		return;
	queue->items[(queue->head + queue->count) % QUEUE_MAX] = *m;
	queue->count++;
}

static void
send_message(
    struct simulation *sim, int from, const struct dc_envelope *envelope)
{
	int to;

	if (envelope->peer != 0) {
		queue_message(
		    sim, from, core_index(envelope->peer), &envelope->message);
		return;
	}
	for (to = 0; to < CORE_COUNT; to++) {
		if (to != from)
			queue_message(sim, from, to, &envelope->message);
	}
}

/* The store comes back from a copy that lacks most claims. */
static void
restore_store(struct simulation *sim)
{
	uint32_t i;

	sim->store_era++;
	sim->result->restores++;
	for (i = 0; i < KEYS_MAX; i++) {
		if (!sim->keys[i].claimed_in_store || random_below(sim, 8) == 0)
			continue;
		sim->keys[i].claimed_in_store = false;
		sim->keys[i].claim_lost = true;
		sim->keys[i].lost_era = sim->store_era;
	}
}

static void
read_store_era(struct simulation *sim, int core)
{
	step_core(sim, core,
	    &(struct dc_event){
		.type = DC_EV_STORE_ERA, .store_era = {sim->store_era}});
}

/*
 * Whether a call's core considered another one dead when it claimed the key,
 * and heard only processes that started after the restore.
 */
static bool
is_cut_off(
    struct simulation *sim, const struct call *call, int from, uint64_t era)
{
	int i;

	if (call->heard[from])
		return false;
	for (i = 0; i < CORE_COUNT; i++) {
		if ((i == call->core || call->heard[i]) &&
		    sim->start_eras[i] < era)
			return false;
	}
	return true;
}

/*
 * A bare key may run again only if a restore lost its claim and no process that
 * knows of the first run or of the restore can be asked; see
 * docs/design/at-most-once.md.
 */
static void
check_second_run(
    struct simulation *sim, const struct key *key, const struct call *call)
{
	if (key->key.scope == DC_KEY_STORE && key->claim_lost &&
	    (sim->epochs[key->run_core] != key->run_epoch ||
		is_cut_off(sim, call, key->run_core, key->lost_era)))
		return;
	report_violation(sim, "a key ran more than once");
}

static void
claim_in_store(struct simulation *sim, int core, struct call *call)
{
	struct key *key = &sim->keys[call->key];
	enum dc_store_result result = DC_STORE_UNAVAILABLE;
	uint32_t store_draw = random_below(sim, 8);
	uint64_t era = sim->store_era;

	memcpy(call->heard, sim->considered_alive[core], sizeof(call->heard));

	if (store_draw != 0) {
		result = key->claimed_in_store ? DC_STORE_CONFLICT
					       : DC_STORE_CLAIMED;
		key->claimed_in_store = true;
	}
	if (random_below(sim, 256) == 0)
		restore_store(sim); /* before the response arrives */
	step_core(sim, core,
	    &(struct dc_event){
		.type = DC_EV_STORE_CLAIMED,
		.store_claimed = {call->id, result, era},
	    });
}

static void
apply_action(struct simulation *sim, int core, const struct dc_action *action)
{
	struct call *call = NULL;
	struct attempt *attempt;

	if (action->type == DC_ACT_MESSAGE) {
		send_message(sim, core, &action->message);
		return;
	}
	if (action->type == DC_ACT_RETIRE_CONNECTIONS)
		return;
	call = find_call(sim, core, action->fields[0]);
	if (call == NULL) {
		report_violation(sim, "an action names a call that has ended");
		return;
	}
	attempt = find_attempt(call, action->fields[1]);
	switch (action->type) {
	case DC_ACT_SEND:
		add_attempt(sim, call, &action->send, false);
		return;
	case DC_ACT_FORWARD:
		add_attempt(sim, call, &action->forward, true);
		return;
	case DC_ACT_CANCEL:
		if (attempt == NULL)
			report_violation(
			    sim, "a cancel action names an unknown attempt");
		else
			attempt->live = false;
		return;
	case DC_ACT_RELAY:
		if (attempt == NULL || !attempt->sent)
			report_violation(sim, "a relay action names an attempt "
					      "that was not sent");
		else
			attempt->relayed = true;
		return;
	case DC_ACT_REFUSE:
		on_refuse(sim, call, &action->refuse);
		return;
	case DC_ACT_REPLAY:
		on_replay(sim, call);
		return;
	case DC_ACT_ABORT:
	case DC_ACT_DONE:
		end_call(sim, call, false, false);
		return;
	case DC_ACT_STORE_CLAIM:
		claim_in_store(sim, core, call);
		return;
	default:
		report_violation(sim, "an action has an unknown type");
	}
}

static void
step_core(struct simulation *sim, int core, const struct dc_event *event)
{
	struct dc_actions *actions = calloc(1, sizeof(*actions));
	uint32_t i;

	dc_step(sim->cores[core], event, sim->now_us, actions);
	for (i = 0; i < actions->count; i++)
		apply_action(sim, core, &actions->items[i]);
	free(actions);
}

static void
load_table(struct simulation *sim, int core)
{
	int i;

	step_core(sim, core,
	    &(struct dc_event){.type = DC_EV_TABLE_BEGIN,
		.table_begin = {.version = sim->version}});
	for (i = 0; i < 2; i++) {
		int j;

		step_core(sim, core,
		    &(struct dc_event){.type = DC_EV_TABLE_POOL,
			.table_pool = {.pool = 10 + (uint64_t)i}});
		for (j = 0; j < TARGETS_PER_POOL; j++) {
			if (sim->version % 5 == (uint64_t)j)
				continue; /* not in this version */
			step_core(sim, core,
			    &(struct dc_event){.type = DC_EV_TABLE_TARGET,
				.table_target = {
				    .target =
					100 +
					(uint64_t)(i * TARGETS_PER_POOL + j),
				    .region = 1 + (uint64_t)j % 2,
				    .slots = 1 + (uint64_t)j % 3,
				    .drain = sim->version % 7 == (uint64_t)j,
				}});
		}
	}
	for (i = 0; i < 4; i++)
		step_core(sim, core,
		    &(struct dc_event){.type = DC_EV_TABLE_ROUTE,
			.table_route = {
			    .route = 20 + (uint64_t)i,
			    .pool = 10 + (uint64_t)i % 2,
			    .weight = 1 + (uint64_t)i,
			    .idempotent = i < 2,
			}});
	step_core(sim, core, &(struct dc_event){.type = DC_EV_TABLE_END});
}

static void
report_peer_state(
    struct simulation *sim, int core, int peer, enum dc_peer_state state)
{
	sim->considered_alive[core][peer] = state == DC_PEER_ALIVE;
	step_core(sim, core,
	    &(struct dc_event){.type = DC_EV_PEER,
		.peer = {
		    .peer = core_id(peer),
		    .epoch = sim->epochs[peer],
		    .region = 1 + (uint64_t)peer % 2,
		    .state = state,
		}});
}

static void
start_core(struct simulation *sim, int core)
{
	int peer;

	sim->epochs[core]++;
	sim->cores[core] =
	    dc_core_create(sim->epochs[core] * 31 + (uint64_t)core);
	step_core(sim, core,
	    &(struct dc_event){.type = DC_EV_SELF,
		.self = {
		    .peer = core_id(core),
		    .epoch = sim->epochs[core],
		    .region = 1 + (uint64_t)core % 2,
		}});
	load_table(sim, core);
	sim->start_eras[core] = sim->store_era;
	read_store_era(sim, core);
	for (peer = 0; peer < CORE_COUNT; peer++) {
		if (peer == core || sim->cores[peer] == NULL)
			continue;
		report_peer_state(sim, core, peer, DC_PEER_ALIVE);
		report_peer_state(sim, peer, core, DC_PEER_ALIVE);
	}
}

/*
 * Restarts a core as after a crash of its process: its open calls are lost and
 * so are the messages in transit from and to it.
 */
static void
restart_core(struct simulation *sim, int core)
{
	int i;

	sim->result->restarts++;
	for (i = 0; i < CALLS_MAX; i++) {
		if (sim->calls[i].open && sim->calls[i].core == core)
			sim->calls[i].open = false;
	}
	for (i = 0; i < CORE_COUNT; i++) {
		sim->links[core][i].count = 0;
		sim->links[i][core].count = 0;
	}
	dc_core_free(sim->cores[core]);
	sim->cores[core] = NULL;
	start_core(sim, core);
}

static int
new_key(struct simulation *sim, int core)
{
	uint32_t slot = sim->key_count % KEYS_MAX;
	struct key *key = &sim->keys[slot];

	if (sim->key_count >= KEYS_MAX)
		return (int)random_below(sim, KEYS_MAX); /* full: resend */
	sim->key_count++;
	*key = (struct key){
	    .key =
		{
		    .a = sim->key_count * 77 + 5,
		    .b = sim->key_count,
		    .scope =
			random_below(sim, 4) == 0 ? DC_KEY_STORE : DC_KEY_HOME,
		},
	};
	if (key->key.scope == DC_KEY_HOME) {
		int issuer = (int)random_below(sim, CORE_COUNT);

		key->key.home = core_id(core);
		key->key.home_epoch = sim->epochs[core];
		dc_key_token_witness(sim->cores[issuer], issuer == core,
		    &key->key.witness, &key->key.witness_epoch,
		    &key->key.window);
	}
	return (int)slot;
}

static int
open_call(struct simulation *sim, int core, int key, uint64_t route, int parent)
{
	int i;

	for (i = 0; i < CALLS_MAX && sim->calls[i].open; i++)
		;
	if (i == CALLS_MAX)
		return -1;
	sim->calls[i] = (struct call){
	    .open = true,
	    .core = core,
	    .id = ++sim->next_call,
	    .idempotent = route < 22,
	    .key = key,
	    .parent = parent,
	};
	sim->result->calls++;
	step_core(sim, core,
	    &(struct dc_event){.type = DC_EV_CALL_ARRIVED,
		.arrived = {
		    .call = sim->calls[i].id,
		    .route = route,
		    .member = random_below(sim, 3),
		    .fingerprint = sim->calls[i].id + (key >= 0 ? 0 : 1),
		    .deadline_us = sim->now_us + DEADLINE_US,
		    .forwarded = parent >= 0,
		    .key = key >= 0 ? sim->keys[key].key
				    : (struct dc_key){.scope = DC_KEY_NONE},
		}});
	return i;
}

static void
add_random_call(struct simulation *sim)
{
	int core = (int)random_below(sim, CORE_COUNT), key = -1;
	uint64_t route = 20 + random_below(sim, 4);

	if (route >= 22 && random_below(sim, 5) != 0)
		key = sim->key_count > 0 && random_below(sim, 2) == 0
			  ? (int)random_below(sim, sim->key_count > KEYS_MAX
						       ? KEYS_MAX
						       : sim->key_count)
			  : new_key(sim, core);
	open_call(sim, core, key, route, -1);
}

static void
deliver_message(struct simulation *sim, int from, int to)
{
	struct queue *queue = &sim->links[from][to];
	struct dc_message message;

	if (queue->count == 0)
		return;
	message = queue->items[queue->head];
	queue->head = (queue->head + 1) % QUEUE_MAX;
	queue->count--;
	step_core(sim, to,
	    &(struct dc_event){.type = DC_EV_MESSAGE,
		.message = {.peer = core_id(from), .message = message}});
}

static void
deliver_random_message(struct simulation *sim)
{
	int from = (int)random_below(sim, CORE_COUNT);

	deliver_message(sim, from, (int)random_below(sim, CORE_COUNT));
}

static void
end_attempt(struct simulation *sim, struct call *call, struct attempt *attempt,
    enum dc_result result)
{
	uint64_t number = attempt->number;

	attempt->live = false;
	step_core(sim, call->core,
	    &(struct dc_event){.type = DC_EV_ATTEMPT_ENDED,
		.ended = {call->id, number, result}});
}

static void
count_run(struct simulation *sim, const struct call *call)
{
	struct key *key = &sim->keys[call->key];

	if (++key->runs > 1)
		check_second_run(sim, key, call);
	if (key->killed)
		report_violation(sim, "a key ran after it was killed");
	key->run_core = call->core;
	key->run_epoch = sim->epochs[call->core];
}

static void
send_attempt(struct simulation *sim, struct call *call, struct attempt *attempt)
{
	attempt->sent = true;
	if (!attempt->forwarded) {
		call->ran = true;
		sim->result->runs++;
		if (call->key >= 0)
			count_run(sim, call);
	}
	step_core(sim, call->core,
	    &(struct dc_event){.type = DC_EV_ATTEMPT_SENT,
		.sent = {call->id, attempt->number, random_below(sim, 2)}});
	if (attempt->live && attempt->forwarded)
		attempt->forward_call =
		    open_call(sim, core_index(attempt->home), call->key,
			22 + call->id % 2, (int)(call - sim->calls));
}

static void
receive_head(struct simulation *sim, struct call *call, struct attempt *attempt)
{
	uint64_t status = random_below(sim, 10) == 0 ? 503 : 200;

	step_core(sim, call->core,
	    &(struct dc_event){.type = DC_EV_ATTEMPT_HEAD,
		.head = {call->id, attempt->number, status}});
}

/*
 * Returns a live attempt and its call, or NULL. The search starts at a random
 * call and looks at one attempt of each call.
 */
static struct attempt *
choose_random_attempt(struct simulation *sim, struct call **call)
{
	uint32_t i, start = random_below(sim, 256) * 16 + random_below(sim, 16);

	for (i = 0; i < CALLS_MAX; i++) {
		struct call *c = &sim->calls[(start + i) % CALLS_MAX];
		struct attempt *attempt =
		    &c->attempts[(start + i / 7) % DC_ATTEMPTS_MAX];

		if (!c->open || !attempt->live)
			continue;
		*call = c;
		return attempt;
	}
	return NULL;
}

/*
 * Advances a random attempt by one stage: sent, response head, ended. One in 12
 * fails at its stage instead.
 */
static void
advance_random_attempt(struct simulation *sim)
{
	struct call *call;
	struct attempt *attempt = choose_random_attempt(sim, &call);
	bool succeeds = random_below(sim, 12) != 0;

	if (attempt == NULL)
		return;
	if (!attempt->sent && !succeeds)
		end_attempt(sim, call, attempt, DC_RESULT_NOT_SENT);
	else if (!attempt->sent)
		send_attempt(sim, call, attempt);
	else if (!attempt->relayed && !succeeds)
		end_attempt(sim, call, attempt, DC_RESULT_CONNECTION_LOST);
	else if (!attempt->relayed)
		receive_head(sim, call, attempt);
	else
		end_attempt(sim, call, attempt,
		    succeeds ? DC_RESULT_COMPLETE : DC_RESULT_TRUNCATED);
}

static void
disconnect_random_caller(struct simulation *sim)
{
	struct call *call = &sim->calls[random_below(sim, 256)];
	uint64_t id = call->id;

	if (!call->open)
		return;
	step_core(sim, call->core,
	    &(struct dc_event){
		.type = DC_EV_CALLER_DISCONNECTED, .disconnected = {id}});
	call->open = false;
}

static void
reset_link(struct simulation *sim, int a, int b)
{
	sim->links[a][b].count = 0;
	sim->links[b][a].count = 0;
	step_core(sim, a,
	    &(struct dc_event){.type = DC_EV_LINK, .link = {core_id(b)}});
	step_core(sim, b,
	    &(struct dc_event){.type = DC_EV_LINK, .link = {core_id(a)}});
}

static void
reset_random_link(struct simulation *sim)
{
	int a = (int)random_below(sim, CORE_COUNT),
	    b = (int)random_below(sim, CORE_COUNT);

	if (a != b)
		reset_link(sim, a, b);
}

static void
toggle_random_peer_state(struct simulation *sim)
{
	int a = (int)random_below(sim, CORE_COUNT),
	    b = (int)random_below(sim, CORE_COUNT);

	if (a != b)
		report_peer_state(sim, a, b,
		    sim->considered_alive[a][b] ? DC_PEER_DEAD : DC_PEER_ALIVE);
}

static void
advance_time(struct simulation *sim)
{
	int core = (int)random_below(sim, CORE_COUNT);

	sim->now_us += 1 + random_below(sim, 200) * 20;
	if (dc_next_timer_us(sim->cores[core]) <= sim->now_us)
		step_core(sim, core, &(struct dc_event){.type = DC_EV_TIMER});
}

static void
reload_tables(struct simulation *sim)
{
	int core;

	sim->version++;
	for (core = 0; core < CORE_COUNT; core++)
		load_table(sim, core);
}

static void
run_random_step(struct simulation *sim)
{
	uint32_t choice = random_below(sim, 250);

	if (choice < 60)
		add_random_call(sim);
	else if (choice < 130)
		deliver_random_message(sim);
	else if (choice < 200)
		advance_random_attempt(sim);
	else if (choice < 244)
		advance_time(sim);
	else if (choice < 246)
		disconnect_random_caller(sim);
	else if (choice < 247)
		reset_random_link(sim);
	else if (choice < 248)
		toggle_random_peer_state(sim);
	else if (choice < 249 && random_below(sim, 40) == 0)
		reload_tables(sim);
	else if (choice < 249 && random_below(sim, 40) == 0)
		restore_store(sim);
	else if (choice < 249)
		read_store_era(sim, (int)random_below(sim, CORE_COUNT));
	else if (random_below(sim, 50) == 0)
		restart_core(sim, (int)random_below(sim, CORE_COUNT));
}

static void
check_cores(struct simulation *sim)
{
	const char *text;
	int core;

	for (core = 0; core < CORE_COUNT; core++) {
		text = dc_check(sim->cores[core]);
		if (text != NULL)
			report_violation(sim, text);
	}
}

/*
 * Delivers the messages in transit link by link, for 64 rounds, since a
 * delivery may send further messages.
 */
static void
deliver_all_messages(struct simulation *sim)
{
	int from, to, round;

	for (round = 0; round < 64; round++) {
		for (from = 0; from < CORE_COUNT; from++) {
			for (to = 0; to < CORE_COUNT; to++) {
				while (sim->links[from][to].count > 0)
					deliver_message(sim, from, to);
			}
		}
	}
}

/* Completes every attempt whose response is being relayed. */
static void
complete_relayed_attempts(struct simulation *sim)
{
	int i, j;

	for (i = 0; i < CALLS_MAX; i++) {
		struct call *call = &sim->calls[i];

		for (j = 0; j < DC_ATTEMPTS_MAX; j++) {
			struct attempt *a = &call->attempts[j];

			if (call->open && a->live && a->relayed)
				end_attempt(sim, call, a, DC_RESULT_COMPLETE);
		}
	}
}

/*
 * Checks for each target that the slots its holders have leased are as many as
 * its owner has granted.
 */
static void
check_leases(struct simulation *sim)
{
	struct dc_target_info info;
	uint64_t target;
	int core;

	for (target = 100; target < 100 + 2 * TARGETS_PER_POOL; target++) {
		uint32_t i, leased = 0, granted = 0;

		for (core = 0; core < CORE_COUNT; core++) {
			for (i = 0; dc_target_info(
					sim->cores[core], i, &info) == CS_OK;
			     i++) {
				if (info.id != target)
					continue;
				leased += info.leased;
				granted += info.granted;
			}
		}
		if (leased != granted)
			report_violation(sim, "a target's leased slots differ "
					      "from its granted slots");
	}
}

/*
 * Runs the cores without further faults, with all peers alive and all links
 * reset, until the deadlines have passed three times over. Every call has to
 * end, and no slot may remain leased that its owner did not grant or granted
 * that nobody holds.
 */
static void
quiesce_and_check(struct simulation *sim)
{
	int core, peer, i, round;

	for (core = 0; core < CORE_COUNT; core++) {
		for (peer = 0; peer < CORE_COUNT; peer++) {
			if (peer != core)
				report_peer_state(
				    sim, core, peer, DC_PEER_ALIVE);
		}
	}
	for (core = 0; core < CORE_COUNT; core++) {
		for (peer = 0; peer < core; peer++)
			reset_link(sim, core, peer);
	}
	for (round = 0; round < 60; round++) {
		sim->now_us += DEADLINE_US / 20;
		for (core = 0; core < CORE_COUNT; core++)
			step_core(
			    sim, core, &(struct dc_event){.type = DC_EV_TIMER});
		deliver_all_messages(sim);
		complete_relayed_attempts(sim);
	}
	for (i = 0; i < CALLS_MAX; i++) {
		if (sim->calls[i].open)
			report_violation(
			    sim, "a call did not end after the faults stopped");
	}
	check_leases(sim);
}

static void
run_simulation(struct simulation *sim, uint64_t steps, struct fz_result *result)
{
	int core;

	*result = (struct fz_result){0};
	sim->result = result;
	sim->version = 1;
	sim->store_era = 1;
	sim->now_us = 1000;
	for (core = 0; core < CORE_COUNT; core++)
		start_core(sim, core);
	while (result->steps < steps && result->fault == NULL &&
	       (sim->bytes == NULL || sim->bytes_left > 0)) {
		run_random_step(sim);
		if (++result->steps % CHECK_INTERVAL_STEPS == 0)
			check_cores(sim);
	}
	if (result->fault == NULL)
		check_cores(sim);
	if (result->fault == NULL)
		quiesce_and_check(sim);
	for (core = 0; core < CORE_COUNT; core++)
		dc_core_free(sim->cores[core]);
	free(sim);
}

void
fz_run_seed(uint64_t seed, uint64_t steps, struct fz_result *result)
{
	struct simulation *sim = calloc(1, sizeof(*sim));

	cs_random_seed(&sim->random, seed);
	run_simulation(sim, steps, result);
}

void
fz_run_bytes(const uint8_t *bytes, size_t count, struct fz_result *result)
{
	struct simulation *sim = calloc(1, sizeof(*sim));

	sim->bytes = bytes;
	sim->bytes_left = count;
	run_simulation(sim, UINT64_MAX, result);
}

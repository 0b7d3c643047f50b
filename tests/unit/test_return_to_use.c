/*
 * A target that was taken out of use is used again once it is well, although
 * the others are idle, on virtual time. Guards against states that only a
 * response of the target would end, while nothing is sent to it.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "../../lib/balance/balance.h"

#define MS INT64_C(1000)
#define SECOND (1000 * MS)
#define START (100 * SECOND)
#define TARGETS_MAX 24
#define CALL_INTERVAL (50 * MS)
#define WORK (20 * MS)
#define PROBE_TIME (4 * MS)
#define PROBE_TIMEOUT (400 * MS) /* as in lib/gateway */
#define OBJECTIVE (500 * MS)
#define DEADLINE (2000 * MS)
#define SLOW_FACTOR 8

/* The first target is disturbed from TROUBLE_FROM to TROUBLE_TO. */
#define TROUBLE_FROM (START + 5 * SECOND)
#define TROUBLE_TO (START + 11 * SECOND)
#define END (START + 41 * SECOND)
/*
 * It gets a request within the users' bound for recovery, and later again at
 * least half of its even share.
 */
#define RETURN_WITHIN (15 * SECOND)
#define SHARE_FROM (START + 26 * SECOND)

enum trouble {
	REFUSES_CONNECTIONS,
	IS_ANOTHER_TARGET, /* 421 */
	FAILS,
	LOSES_RESPONSES,
	IS_FULL,
	IS_SLOW_AND_SAYS_SO,
	IS_SLOW,
	ANSWERS_NO_PROBES,
	IS_UNHEALTHY, /* its speed is not known */
	PAUSES,
	WARMS_UP,
	IS_GONE, /* and registers anew */
};

struct row {
	const char *name;
	enum trouble trouble;
};

static const struct row rows[] = {
    {"refuses connections", REFUSES_CONNECTIONS},
    {"another target has its address", IS_ANOTHER_TARGET},
    {"fails its requests", FAILS},
    {"loses its responses", LOSES_RESPONSES},
    {"is full", IS_FULL},
    {"is slow and says so", IS_SLOW_AND_SAYS_SO},
    {"is slow", IS_SLOW},
    {"does not answer probes", ANSWERS_NO_PROBES},
    {"is unhealthy by its probes", IS_UNHEALTHY},
    {"pauses", PAUSES},
    {"warms up", WARMS_UP},
    {"has a new process", IS_GONE},
};

struct run {
	const struct row *row;
	struct bl_topology topology;
	struct bl_pool *pool;
	struct bl_target *first;
	uint32_t targets, calls;
	int64_t now_us;
	int64_t probe_sent_us; /* to the first target, without an answer */
	int64_t back_us;       /* its first request after the trouble */
	uint32_t late_calls, late_calls_there;
};

static bool
is_disturbed(const struct run *run, const struct bl_target *target)
{
	return target == run->first && run->now_us >= TROUBLE_FROM &&
	       run->now_us < TROUBLE_TO;
}

static bool
has_trouble(
    const struct run *run, const struct bl_target *target, enum trouble trouble)
{
	return is_disturbed(run, target) && run->row->trouble == trouble;
}

static struct bl_target *
add_target(struct run *run, uint32_t number, uint64_t process)
{
	struct bl_target *target;
	char id[16];

	snprintf(id, sizeof(id), "t-%u", number);
	target = bl_target_create(id);
	target->slots = 4;
	bl_target_set_process(target, process);
	assert_int_equal(bl_pool_add(run->pool, target), CS_OK);
	return target;
}

static void
report_load(struct run *run, struct bl_target *target)
{
	struct bl_load load = {.slots = 4, .slowness_pct = 100};

	if (has_trouble(run, target, IS_SLOW_AND_SAYS_SO))
		load.slowness_pct *= SLOW_FACTOR;
	if (has_trouble(run, target, IS_FULL))
		load.running = 4;
	if (has_trouble(run, target, IS_UNHEALTHY))
		load.slowness_pct = 0;
	bl_load_reported(target, &load, run->now_us);
}

static void
end_probe(struct run *run, struct bl_target *target, enum bl_outcome outcome)
{
	target->probing = false;
	bl_request_started(target, run->now_us);
	bl_request_ended(target, outcome, 0, run->now_us);
}

static void
send_probe(struct run *run, struct bl_target *target)
{
	if (target->probing)
		return;
	target->probing = true;
	target->probe_sent_us = run->now_us;
	if (has_trouble(run, target, ANSWERS_NO_PROBES) ||
	    has_trouble(run, target, LOSES_RESPONSES)) {
		run->probe_sent_us = run->now_us;
	} else if (has_trouble(run, target, REFUSES_CONNECTIONS)) {
		end_probe(run, target, BL_UNREACHED);
	} else {
		target->probing = false;
		report_load(run, target);
	}
}

static enum bl_outcome
outcome_at(const struct run *run, const struct bl_target *target)
{
	if (!is_disturbed(run, target))
		return BL_SERVED;
	switch (run->row->trouble) {
	case REFUSES_CONNECTIONS:
		return BL_UNREACHED;
	case IS_ANOTHER_TARGET:
		return BL_MISPLACED;
	case FAILS:
		return BL_FAILED;
	case LOSES_RESPONSES:
		return BL_LOST;
	case IS_FULL:
	case PAUSES:
		return BL_SHED;
	case IS_SLOW_AND_SAYS_SO:
	case IS_SLOW:
	case ANSWERS_NO_PROBES:
	case IS_UNHEALTHY:
	case WARMS_UP:
	case IS_GONE:
		break;
	}
	return BL_SERVED;
}

static bool
is_slow(const struct run *run, const struct bl_target *target)
{
	return has_trouble(run, target, IS_SLOW) ||
	       has_trouble(run, target, IS_SLOW_AND_SAYS_SO) ||
	       has_trouble(run, target, WARMS_UP);
}

static void
send_request(struct run *run, struct bl_target *target)
{
	enum bl_outcome outcome = outcome_at(run, target);
	int64_t took_us = is_slow(run, target) ? SLOW_FACTOR * WORK : WORK;

	bl_request_started(target, run->now_us);
	bl_request_ended(target, outcome, took_us, run->now_us + took_us);
	if (outcome == BL_SERVED || outcome == BL_SHED || outcome == BL_FAILED)
		report_load(run, target);
	if (has_trouble(run, target, PAUSES))
		bl_pause(target, 3 * SECOND, run->now_us);
	if (target == run->first && run->now_us >= TROUBLE_TO &&
	    run->back_us == 0)
		run->back_us = run->now_us;
	if (run->now_us >= SHARE_FROM) {
		run->late_calls++;
		run->late_calls_there += target == run->first;
	}
}

static void
place(struct run *run)
{
	struct bl_request request = {
	    .now_us = run->now_us,
	    .objective_us = run->now_us + OBJECTIVE,
	    .deadline_us = run->now_us + DEADLINE,
	    .may_probe = true,
	    .tie_breaker = cs_hash_pair(run->calls++, run->targets),
	};
	struct bl_placement placement;
	uint32_t i;

	bl_place(&run->topology, run->pool, &request, &placement);
	if (placement.verdict == BL_PROBE) {
		for (i = 0; i < placement.probe_count; i++)
			send_probe(run, placement.probes[i]);
		run->now_us += PROBE_TIME;
		request.now_us = run->now_us;
		request.may_probe = false;
		bl_place(&run->topology, run->pool, &request, &placement);
	}
	assert_int_equal(placement.verdict, BL_SEND);
	send_request(run, placement.target);
}

static void
begin_trouble(struct run *run)
{
	if (run->row->trouble == WARMS_UP)
		run->first->warm_up_until_us = TROUBLE_TO;
	if (run->row->trouble == IS_GONE)
		bl_pool_remove(run->pool, run->first);
}

static void
end_trouble(struct run *run)
{
	if (run->row->trouble == IS_GONE)
		run->first = add_target(run, 0, 2);
}

static void
play(struct run *run, const struct row *row, uint32_t targets)
{
	bool began = false, ended = false;
	int64_t at_us;
	uint32_t i;

	*run = (struct run){.row = row, .targets = targets};
	run->topology.count = 1;
	run->topology.data_centres[0].same_region = true;
	run->topology.data_centres[0].rtt_us = MS;
	run->pool = bl_pool_create("p");
	for (i = 0; i < targets; i++)
		add_target(run, i, 1);
	run->first = run->pool->targets[0];
	for (at_us = START; at_us < END; at_us += CALL_INTERVAL) {
		run->now_us = at_us;
		if (!began && at_us >= TROUBLE_FROM) {
			began = true;
			begin_trouble(run);
		}
		if (!ended && at_us >= TROUBLE_TO) {
			ended = true;
			end_trouble(run);
		}
		if (run->probe_sent_us != 0 &&
		    at_us - run->probe_sent_us > PROBE_TIMEOUT) {
			run->probe_sent_us = 0;
			if (run->first->probing)
				end_probe(run, run->first, BL_LOST);
		}
		place(run);
	}
	bl_pool_free(run->pool);
}

static void
test_target_that_is_well_again_is_used(void **state)
{
	static const uint32_t sizes[] = {2, 4, TARGETS_MAX};
	static struct run run;
	uint32_t failed = 0;
	size_t i, size;

	(void)state;
	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		for (size = 0; size < 3; size++) {
			double after_s;

			play(&run, &rows[i], sizes[size]);
			after_s = (double)(run.back_us - TROUBLE_TO) / 1e6;
			if (run.back_us != 0 &&
			    run.back_us <= TROUBLE_TO + RETURN_WITHIN &&
			    run.late_calls_there * 2 * sizes[size] >=
				run.late_calls)
				continue;
			print_error("%s, %u targets: used after %.1f s, then "
				    "%u of %u requests\n",
			    rows[i].name, sizes[size],
			    run.back_us == 0 ? -1.0 : after_s,
			    run.late_calls_there, run.late_calls);
			failed++;
		}
	}
	assert_int_equal(failed, 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_target_that_is_well_again_is_used),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

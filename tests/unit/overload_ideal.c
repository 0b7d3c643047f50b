/*
 * An order that no VM can follow, as a bound for those that can: one queue for
 * all VMs, which knows the work of each call, the speed of each target and its
 * requests at every moment. The call of most worth for its work goes first, to
 * the fastest target, and only if it will be in time there. How the speed of
 * the targets changes later is not known to it either.
 */
#include "overload_sim.h"

/* Returns the fastest target with room, or the number of targets. */
static uint32_t
fastest_target(const struct simulation *simulation)
{
	const struct load_case *load = simulation->load;
	uint32_t i, best = load->targets;

	for (i = 0; i < load->targets; i++) {
		const struct target_state *state = &simulation->targets[i];
		/* The number of requests with the highest throughput. */
		uint32_t limit = load->slots == 2 ? 2 : load->slots - 1;

		if (state->gone || state->running >= limit)
			continue;
		if (best == load->targets ||
		    state->slow < simulation->targets[best].slow ||
		    (state->slow == simulation->targets[best].slow &&
			state->running < simulation->targets[best].running))
			best = i;
	}
	return best;
}

/* Returns the moment at which the call would end at a target of this speed. */
static int64_t
end_us(
    const struct simulation *simulation, const struct call *call, double slow)
{
	return simulation->now_us + (int64_t)(call->work_left_us * slow);
}

static struct call *
best_call(struct simulation *simulation, double slow)
{
	struct call *best = NULL;
	double best_worth = 0.0, worth;
	uint32_t i;

	for (i = 0; i < CALLS_MAX; i++) {
		struct call *call = &simulation->calls[i];
		const struct kind *kind = &simulation->load->kinds[call->kind];

		if (call->state != WAITING ||
		    end_us(simulation, call, slow) >
			call->first_us + kind->objective_ms * MS)
			continue;
		worth = kind->worth / call->work_left_us;
		if (best == NULL || worth > best_worth) {
			best = call;
			best_worth = worth;
		}
	}
	return best;
}

/* Calls that cannot be in time anywhere take no room from others. */
static void
refuse_late_calls(struct simulation *simulation)
{
	uint32_t i;

	for (i = 0; i < CALLS_MAX; i++) {
		struct call *call = &simulation->calls[i];
		int64_t objective_us =
		    simulation->load->kinds[call->kind].objective_ms * MS;

		if (call->state == WAITING &&
		    end_us(simulation, call, 1.0) >
			call->first_us + objective_us) {
			call->attempts =
			    RETURN_ATTEMPTS; /* none can be in time */
			overload_refuse(simulation, call, 0);
		}
	}
}

static void
start(struct simulation *simulation, struct call *call, uint32_t target)
{
	struct target_state *state = &simulation->targets[target];

	call->state = SENT;
	call->target = target;
	call->started_us = simulation->now_us;
	call->queued = call->lost = false;
	call->work_left_us += 1 * MS; /* the way to the nearest target */
	state->running++;
	simulation->sent++;
	bl_request_started(
	    simulation->vms[call->vm].targets[target], simulation->now_us);
}

void
overload_dispatch_ideal(struct simulation *simulation)
{
	const struct load_case *load = simulation->load;
	struct call *call;
	uint32_t target;
	double slow;

	for (;;) {
		target = fastest_target(simulation);
		if (target == load->targets)
			break;
		slow = simulation->targets[target].slow;
		if (simulation->targets[target].running + 1 >
		    KNEE_SHARE * load->slots)
			slow *= KNEE_SLOWDOWN;
		call = best_call(simulation, slow);
		if (call == NULL)
			break;
		start(simulation, call, target);
	}
	refuse_late_calls(simulation);
}

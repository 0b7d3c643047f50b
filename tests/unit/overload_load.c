/* The load that varies: targets and their speed, tenants, and callers. */
#include <math.h>

#include "overload_sim.h"

/* With replaces_targets: a target is away, and then cold, for so long. */
#define AWAY_MS 1000
#define COLD_MS 1000
#define COLD_X 2.0

bool
overload_is_on(const struct simulation *simulation, int64_t time_us)
{
	int64_t ms = (time_us - simulation->start_us) / MS;

	return ms >= OVERLOAD_FROM_MS &&
	       ms < OVERLOAD_FROM_MS + simulation->load->overload_ms;
}

/* A rolling release replaces one target after the other. */
static bool
is_replaced(const struct simulation *simulation, double place, int64_t *back_us)
{
	int64_t last_ms = simulation->load->overload_ms - AWAY_MS;
	int64_t from_us = simulation->start_us + OVERLOAD_FROM_MS * MS +
			  (int64_t)(place * (double)last_ms) * MS;

	*back_us = from_us + AWAY_MS * MS;
	return simulation->now_us >= from_us && simulation->now_us < *back_us;
}

static void
set_gone(struct simulation *simulation, uint32_t target, bool gone)
{
	uint32_t i;

	simulation->targets[target].gone = gone;
	for (i = 0; i < simulation->load->vms; i++) {
		struct bl_target *seen = simulation->vms[i].targets[target];

		if (simulation->load->replaces_targets && !gone) {
			bl_target_restarted(seen);
			seen->warm_up_until_us =
			    simulation->now_us + COLD_MS * MS;
		}
		seen->draining = gone;
	}
}

void
overload_update_targets(struct simulation *simulation)
{
	const struct load_case *load = simulation->load;
	bool overload = overload_is_on(simulation, simulation->now_us);
	uint32_t i;

	for (i = 0; i < load->targets; i++) {
		struct target_state *state = &simulation->targets[i];
		/* Spread over the data centres. */
		double place = (i * 37 % load->targets) / (double)load->targets;
		int64_t back_us = 0;
		bool gone = overload && place < load->gone_share;

		if (load->replaces_targets)
			gone = is_replaced(simulation, place, &back_us);
		if (gone != state->gone)
			set_gone(simulation, i, gone);
		if (simulation->now_us >= back_us && back_us != 0 &&
		    simulation->now_us < back_us + COLD_MS * MS) {
			state->slow = COLD_X;
			state->changes_us = 0;
			continue;
		}
		if (overload && place < load->slow_share_during) {
			state->slow = load->slow_x_during;
			continue;
		}
		if (simulation->now_us < state->changes_us &&
		    state->slow != load->slow_x_during)
			continue;
		state->slow =
		    cs_random_unit(&simulation->random) < load->neighbour_share
			? load->neighbour_x
			: 1.0;
		state->changes_us =
		    simulation->now_us +
		    (int64_t)(-300.0 * MS *
			      log(1.0 - cs_random_unit(&simulation->random)));
	}
}

uint32_t
overload_choose_tenant(struct simulation *simulation, bool overload)
{
	double hot = simulation->load->hot_factor, at;
	double sum = 1.0;
	uint32_t i;

	hot = overload && hot > 1 ? hot - 1 : 0;
	sum += hot * simulation->tenant_weights[0];
	at = sum * cs_random_unit(&simulation->random);
	if (at >= 1.0)
		return 0;
	for (i = 0; i + 1 < TENANTS_MAX; i++) {
		at -= simulation->tenant_weights[i];
		if (at < 0)
			break;
	}
	return i;
}

/* The VMs of region 0 lose their callers to those of region 1. */
uint32_t
overload_choose_vm(struct simulation *simulation)
{
	const struct load_case *load = simulation->load;
	uint32_t vm = cs_random_below(&simulation->random, load->vms);

	if (load->callers_move && vm % REGIONS == 0 && vm + 1 < load->vms &&
	    overload_is_on(simulation, simulation->now_us))
		return vm + 1;
	return vm;
}

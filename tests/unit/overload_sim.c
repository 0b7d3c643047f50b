/* See overload_sim.h. */
#include <assert.h>
#include <math.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "overload_sim.h"

#define REPORT_WAIT_US (40 * MS)
#define RETRY_RATIO 0.1

static void
set_up_vm(struct simulation *simulation, uint32_t number)
{
	const struct load_case *load = simulation->load;
	struct vm *vm = &simulation->vms[number];
	uint32_t i;

	*vm = (struct vm){
	    .pool = bl_pool_create("p"),
	    .topology = {.own = number % REGIONS, .count = REGIONS},
	    .dispatch_us = INT64_MAX,
	};
	bl_queue_init(&vm->queue, true);
	for (i = 0; i < REGIONS; i++) {
		vm->topology.data_centres[i].same_region =
		    i == vm->topology.own || load->one_region;
		vm->topology.data_centres[i].rtt_us =
		    i == vm->topology.own ? 1 * MS
		    : load->one_region	  ? 2 * MS
					  : 24 * MS;
	}
	for (i = 0; i < load->targets; i++) {
		char id[16];

		snprintf(id, sizeof(id), "t%u", i);
		vm->targets[i] = bl_target_create(id);
		vm->targets[i]->slots = load->slots;
		vm->targets[i]->data_centre = i % REGIONS;
		vm->targets[i]->draining = simulation->targets[i].gone;
		bl_pool_add(vm->pool, vm->targets[i]);
	}
}

static void
set_up(struct simulation *simulation, const struct load_case *load,
    enum order order, uint64_t seed)
{
	double sum = 0.0;
	uint32_t i;

	memset(simulation, 0, sizeof(*simulation));
	simulation->load = load;
	simulation->order = order;
	simulation->start_us = simulation->now_us = 1000000 * MS;
	simulation->next_us = (double)simulation->now_us;
	cs_random_seed(&simulation->random, seed);
	for (i = 0; i < load->targets; i++)
		simulation->targets[i].slow = 1.0;
	for (i = 0; i < load->vms; i++)
		set_up_vm(simulation, i);
	for (i = 0; i < TENANTS_MAX; i++)
		sum += pow(i + 1, -1.2);
	for (i = 0; i < TENANTS_MAX; i++)
		simulation->tenant_weights[i] = pow(i + 1, -1.2) / sum;
}

static void
tear_down(struct simulation *simulation)
{
	uint32_t i;

	for (i = 0; i < simulation->load->vms; i++)
		bl_pool_free(simulation->vms[i].pool);
}

static struct bl_load
get_load(const struct simulation *simulation, uint32_t target)
{
	const struct target_state *state = &simulation->targets[target];

	return (struct bl_load){
	    .running = state->running,
	    .waiting = state->queued,
	    .slots = simulation->load->slots,
	    .slowness_pct = (uint32_t)(100 * state->slow),
	};
}

static void
count_return(
    struct simulation *simulation, const struct call *call, bool served)
{
	int64_t from_us = simulation->start_us + OVERLOAD_FROM_MS * MS;
	int half = call->refused_us - from_us >=
		   simulation->load->overload_ms * MS / 2;

	if (call->refused_us == 0)
		return;
	simulation->returns.served += served;
	simulation->returns.refused[half]++;
	simulation->returns.served_at_last[half] += served;
}

static void
count_end(struct simulation *simulation, const struct call *call, bool served,
    bool lost)
{
	const struct kind *kind = &simulation->load->kinds[call->kind];
	int64_t took_us = simulation->now_us - call->first_us;
	int64_t second = (call->first_us - simulation->start_us) / 1000000;
	bool in_time = served && took_us <= kind->objective_ms * MS;
	struct tally *tallies[] = {&simulation->kinds[call->kind],
	    &simulation->tenants[call->tenant], &simulation->all};
	size_t i;

	simulation->worth_max[second] += kind->worth;
	if (served)
		simulation->worth[second] +=
		    in_time ? kind->worth : kind->worth * LATE_WORTH;
	if (!overload_is_on(simulation, call->first_us))
		return;
	count_return(simulation, call, served);
	for (i = 0; i < 3; i++) {
		tallies[i]->calls++;
		tallies[i]->in_time += in_time;
		tallies[i]->late += served && !in_time;
		tallies[i]->refused += !served && !lost;
		tallies[i]->lost += lost;
		if (!served && !lost)
			tallies[i]->refused_after_ms += (double)took_us / MS;
	}
}

static void
leave_queue(struct simulation *simulation, struct call *call)
{
	if (call->state == WAITING)
		bl_queue_remove(&simulation->vms[call->vm].queue, &call->entry);
}

/* The caller repeats a refused call once, at another VM. */
void
overload_refuse(
    struct simulation *simulation, struct call *call, int64_t retry_after_us)
{
	const struct kind *kind = &simulation->load->kinds[call->kind];
	int64_t left_us =
	    call->first_us + kind->deadline_ms * MS - simulation->now_us;
	uint32_t attempts_max;

	leave_queue(simulation, call);
	if (simulation->order == ORDER_COST)
		bl_queue_ended(&simulation->vms[call->vm].queue, &call->entry,
		    false, 0, simulation->now_us);
	if (simulation->load->retries_at_once)
		retry_after_us = 0;
	if (call->refused_us == 0)
		call->refused_us = simulation->now_us;
	attempts_max = simulation->load->callers_return ? RETURN_ATTEMPTS : 2;
	if (call->attempts >= attempts_max || left_us <= 0) {
		count_end(simulation, call, false, false);
		call->state = FREE;
		return;
	}
	if (!simulation->load->callers_return &&
	    retry_after_us > left_us / RETRY_WAIT_SHARE)
		retry_after_us = left_us / RETRY_WAIT_SHARE;
	call->state = AWAY;
	call->resume_us = simulation->now_us + 3 * MS + retry_after_us;
}

static uint32_t
target_index(const struct vm *vm, const struct bl_target *target)
{
	uint32_t i;

	for (i = 0; vm->targets[i] != target; i++)
		;
	return i;
}

static void place_call(struct simulation *simulation, struct call *call);

void
overload_draw_work(struct simulation *simulation, struct call *call)
{
	call->work_left_us = simulation->load->kinds[call->kind].work_ms * MS *
			     (0.7 + 0.6 * cs_random_unit(&simulation->random));
}

static void
send_call(struct simulation *simulation, struct call *call,
    struct bl_target *bl_target, int64_t expected_us)
{
	const struct load_case *load = simulation->load;
	struct vm *vm = &simulation->vms[call->vm];
	struct target_state *target;

	leave_queue(simulation, call);
	call->state = SENT;
	call->target = target_index(vm, bl_target);
	call->started_us = simulation->now_us;
	call->queued = call->lost = false;
	call->overdue_us =
	    simulation->now_us + bl_overdue_us(bl_queue_expected_us(&vm->queue,
				     &call->entry, vm->pool, expected_us));
	simulation->sent++;
	if (call->tried_count < BL_TRIED_MAX)
		call->tried[call->tried_count++] = bl_target;
	overload_draw_work(simulation, call);
	call->work_left_us +=
	    (double)vm->topology.data_centres[bl_target->data_centre].rtt_us;
	bl_request_started(bl_target, simulation->now_us);
	target = &simulation->targets[call->target];
	if (target->running < load->slots) {
		target->running++;
	} else if (target->queued < load->target_queue) {
		target->queued++;
		call->queued = true;
	} else if (load->is_unresponsive) {
		call->lost = true;
	} else {
		struct bl_load report = get_load(simulation, call->target);

		bl_load_reported(bl_target, &report, simulation->now_us);
		bl_request_ended(
		    bl_target, BL_SHED, 1 * MS, simulation->now_us);
		bl_queue_heard(&vm->queue, &report, simulation->now_us);
		if (call->tried_count < 3)
			place_call(simulation, call);
		else
			overload_refuse(simulation, call, 50 * MS);
	}
}

static bool
send_probes(struct simulation *simulation, struct vm *vm,
    const struct bl_placement *placement)
{
	bool sent = false;
	uint32_t i;

	for (i = 0; i < placement->probe_count; i++) {
		struct bl_target *target = placement->probes[i];
		struct bl_load report =
		    get_load(simulation, target_index(vm, target));

		if (vm->probe_tokens < 1.0)
			continue;
		vm->probe_tokens -= 1.0;
		simulation->probes++;
		target->probe_sent_us = simulation->now_us;
		bl_load_reported(target, &report, simulation->now_us);
		bl_queue_heard(&vm->queue, &report, simulation->now_us);
		sent = true;
	}
	return sent;
}

/* Returns the time of the way to the farthest target that is probed. */
static int64_t
farthest_us(const struct vm *vm, const struct bl_placement *placement)
{
	int64_t rtt_us, max_us = 0;
	uint32_t i;

	for (i = 0; i < placement->probe_count; i++) {
		rtt_us =
		    vm->topology.data_centres[placement->probes[i]->data_centre]
			.rtt_us;
		if (rtt_us > max_us)
			max_us = rtt_us;
	}
	return max_us > PROBE_US ? max_us : 0;
}

static void
ask_placement(struct simulation *simulation, struct call *call, bool may_probe,
    struct bl_placement *out)
{
	struct vm *vm = &simulation->vms[call->vm];
	struct bl_request request = {
	    .now_us = simulation->now_us,
	    .objective_us =
		call->entry.received_us +
		simulation->load->kinds[call->kind].objective_ms * MS,
	    .deadline_us = call->entry.deadline_us,
	    .may_probe = may_probe,
	    .may_wait = true,
	    .waiting_calls = vm->queue.count,
	    .tie_breaker = cs_random_next(&simulation->random),
	    .tried_count = call->tried_count,
	};

	memcpy(request.tried, call->tried, sizeof(request.tried));
	call->entry.was_tried =
	    simulation->order == ORDER_COST && call->tried_count > 0;
	if (simulation->order == ORDER_COST)
		bl_queue_fill_request(&vm->queue, &call->entry, vm->pool,
		    vm->probe_tokens / vm->probe_tokens_max, &request);
	bl_place(&vm->topology, vm->pool, &request, out);
}

static bool
can_be_in_time(const struct simulation *simulation, const struct call *call)
{
	return simulation->now_us +
		   (int64_t)simulation->vms[call->vm].pool->service_time_us <=
	       call->entry.objective_us;
}

static bool
is_before(const struct simulation *simulation, const struct call *a,
    const struct call *b)
{
	if (simulation->order == ORDER_PRIORITY &&
	    a->entry.priority != b->entry.priority)
		return a->entry.priority < b->entry.priority;
	if (simulation->order == ORDER_DEADLINE) {
		bool a_in_time = can_be_in_time(simulation, a);

		if (a_in_time != can_be_in_time(simulation, b))
			return a_in_time;
		return a->entry.objective_us < b->entry.objective_us;
	}
	return a->entry.received_us < b->entry.received_us;
}

static struct call *
call_of(struct bl_queue_entry *entry)
{
	return entry == NULL ? NULL
			     : (struct call *)((char *)entry -
					       offsetof(struct call, entry));
}

/* The next call to place, of those that wait at the VM. */
static struct call *
pick(struct simulation *simulation, struct vm *vm, struct bl_queue_scan *scan)
{
	struct bl_queue_entry *entry;
	struct call *best = NULL;

	if (simulation->order == ORDER_COST)
		return call_of(bl_queue_next(
		    &vm->queue, vm->pool, scan, simulation->now_us));
	if (scan->blocked_count > 0)
		return NULL;
	for (entry = vm->queue.first; entry != NULL; entry = entry->next) {
		if (best == NULL || is_before(simulation, call_of(entry), best))
			best = call_of(entry);
	}
	return best;
}

static void
enqueue(struct simulation *simulation, struct call *call)
{
	struct vm *vm = &simulation->vms[call->vm];

	if (call->state != WAITING)
		bl_queue_add(&vm->queue, &call->entry);
	call->state = WAITING;
	if (vm->dispatch_us > simulation->now_us + DISPATCH_US)
		vm->dispatch_us = simulation->now_us + DISPATCH_US;
}

static void
place_call(struct simulation *simulation, struct call *call)
{
	struct vm *vm = &simulation->vms[call->vm];
	struct bl_queue_entry *entry;
	struct bl_placement out;
	bool must_queue = false;

	ask_placement(
	    simulation, call, call->probe_rounds < PROBE_ROUNDS_MAX, &out);
	if (out.verdict == BL_PROBE) {
		call->probe_rounds++;
		call->entry.probed_us = simulation->now_us;
		if (send_probes(simulation, vm, &out)) {
			call->state = PROBING;
			call->resume_us = simulation->now_us + PROBE_US +
					  farthest_us(vm, &out);
			return;
		}
		ask_placement(simulation, call, false, &out);
	}
	if (simulation->order == ORDER_COST) {
		must_queue = bl_queue_must_wait(
		    &vm->queue, &call->entry, vm->pool, simulation->now_us);
	} else {
		for (entry = vm->queue.first; entry != NULL;
		     entry = entry->next)
			must_queue |=
			    is_before(simulation, call_of(entry), call);
	}
	if (out.verdict == BL_WAIT ||
	    (out.verdict == BL_SEND && must_queue && call->tried_count == 0))
		enqueue(simulation, call);
	else if (out.verdict == BL_SEND)
		send_call(simulation, call, out.target, out.expected_us);
	else
		overload_refuse(simulation, call, out.retry_after_us);
}

static void
dispatch(struct simulation *simulation, struct vm *vm)
{
	struct bl_queue_scan scan;
	struct bl_placement out;
	struct call *call;

	vm->dispatch_us = INT64_MAX;
	bl_queue_begin(&vm->queue, &scan);
	while ((call = pick(simulation, vm, &scan)) != NULL) {
		ask_placement(simulation, call,
		    call->probe_rounds < PROBE_ROUNDS_MAX, &out);
		if (out.verdict == BL_PROBE) {
			call->entry.probed_us = simulation->now_us;
			if (send_probes(simulation, vm, &out))
				break;
			ask_placement(simulation, call, false, &out);
		}
		if (out.verdict == BL_WAIT) {
			bl_queue_block(&vm->queue, &scan, &call->entry);
			continue;
		}
		if (out.verdict == BL_SEND)
			send_call(
			    simulation, call, out.target, out.expected_us);
		else
			overload_refuse(simulation, call, out.retry_after_us);
	}
	if (vm->queue.first != NULL &&
	    vm->dispatch_us > simulation->now_us + DISPATCH_US)
		vm->dispatch_us = simulation->now_us + DISPATCH_US;
}

/* The call arrives at a VM, for the first or the second time. */
static void
arrive(struct simulation *simulation, struct call *call)
{
	const struct kind *kind = &simulation->load->kinds[call->kind];
	struct vm *vm;

	call->vm = overload_choose_vm(simulation);
	vm = &simulation->vms[call->vm];
	call->attempts++;
	if (call->attempts > 1 && overload_is_on(simulation, call->first_us)) {
		int64_t ms = (simulation->now_us - simulation->start_us) / MS;

		simulation->returns.calls++;
		simulation->returns.bins[ms / RETURN_BIN_MS]++;
	}
	call->probe_rounds = call->tried_count = 0;
	call->state = NEW;
	call->entry = (struct bl_queue_entry){
	    .kind = call->kind + 1,
	    .priority = kind->priority,
	    .tenant = call->tenant + 1,
	    .received_us = simulation->now_us,
	    .objective_us = simulation->now_us + kind->objective_ms * MS,
	    .deadline_us = call->first_us + kind->deadline_ms * MS,
	};
	if (simulation->order == ORDER_IDEAL) {
		overload_draw_work(simulation, call);
		call->state = WAITING;
		return;
	}
	if (simulation->order == ORDER_COST)
		bl_queue_arrived(&vm->queue, &call->entry, simulation->now_us);
	place_call(simulation, call);
}

static void
receive_call(struct simulation *simulation, bool overload)
{
	const struct load_case *load = simulation->load;
	double at = cs_random_unit(&simulation->random);
	uint32_t i, kind = 0;

	for (i = 0; i < CALLS_MAX && simulation->calls[i].state != FREE; i++)
		;
	assert(i < CALLS_MAX);
	while (kind + 1 < KINDS_MAX && at >= load->kinds[kind].share)
		at -= load->kinds[kind++].share;
	simulation->calls[i] = (struct call){
	    .kind = kind,
	    .tenant = overload_choose_tenant(simulation, overload),
	    .first_us = simulation->now_us,
	};
	arrive(simulation, &simulation->calls[i]);
}

static void
receive_calls(struct simulation *simulation)
{
	const struct load_case *load = simulation->load;
	bool overload = overload_is_on(simulation, simulation->now_us);
	double rate = load->calls_per_s;

	if (overload) {
		rate *= load->burst_factor;
		if (load->hot_factor > 1)
			rate *= 1 + (load->hot_factor - 1) *
					simulation->tenant_weights[0];
	}
	/* The next arrival, until it is later than this step. */
	while (simulation->next_us <= (double)simulation->now_us) {
		receive_call(simulation, overload);
		simulation->next_us +=
		    -1e6 / rate *
		    log(1.0 - cs_random_unit(&simulation->random));
	}
}

/* As lib/gateway/overdue.c; all calls of the simulation may be repeated. */
static bool
abandon_if_overdue(struct simulation *simulation, struct call *call)
{
	struct vm *vm = &simulation->vms[call->vm];
	struct bl_target *target = vm->targets[call->target];
	struct bl_placement out;

	if (simulation->now_us < call->overdue_us || call->tried_count > 2 ||
	    simulation->abandoned >= RETRY_RATIO * simulation->sent)
		return false;
	call->overdue_us = simulation->now_us + REPORT_WAIT_US;
	if (simulation->now_us - target->load_at_us > REPORT_WAIT_US) {
		send_probes(simulation, vm,
		    &(struct bl_placement){
			.probe_count = 1, .probes = {target}});
		return false;
	}
	ask_placement(simulation, call, false, &out);
	if (!bl_may_have_dropped(target, call->started_us) ||
	    out.verdict != BL_SEND)
		return false;
	if (call->queued)
		simulation->targets[call->target].queued--;
	else if (!call->lost)
		simulation->targets[call->target].running--;
	simulation->abandoned++;
	bl_request_ended(target, BL_LOST, simulation->now_us - call->started_us,
	    simulation->now_us);
	send_call(simulation, call, out.target, out.expected_us);
	return true;
}

static void
advance_sent(struct simulation *simulation, struct call *call)
{
	const struct load_case *load = simulation->load;
	struct vm *vm = &simulation->vms[call->vm];
	struct bl_target *bl_target = vm->targets[call->target];
	struct target_state *state = &simulation->targets[call->target];
	int64_t took_us = simulation->now_us - call->started_us;
	struct bl_load report;
	double slow = state->slow;

	if (simulation->order == ORDER_COST &&
	    abandon_if_overdue(simulation, call))
		return;
	if (call->lost || simulation->now_us >= call->entry.deadline_us) {
		if (simulation->now_us < call->entry.deadline_us)
			return;
		if (call->queued)
			state->queued--;
		else if (!call->lost)
			state->running--;
		bl_request_ended(
		    bl_target, BL_CANCELLED, took_us, simulation->now_us);
		count_end(simulation, call, false, true);
		call->state = FREE;
		return;
	}
	if (call->queued) {
		if (state->running >= load->slots)
			return;
		state->queued--;
		state->running++;
		call->queued = false;
	}
	if (state->running > KNEE_SHARE * load->slots)
		slow *= KNEE_SLOWDOWN;
	call->work_left_us -= (double)STEP_US / slow;
	if (call->work_left_us > 0)
		return;
	state->running--;
	report = get_load(simulation, call->target);
	bl_load_reported(bl_target, &report, simulation->now_us);
	bl_request_ended(bl_target, BL_SERVED, took_us, simulation->now_us);
	bl_queue_heard(&vm->queue, &report, simulation->now_us);
	if (simulation->order == ORDER_COST)
		bl_queue_ended(&vm->queue, &call->entry, true, took_us,
		    simulation->now_us);
	count_end(simulation, call, true, false);
	call->state = FREE;
	vm->dispatch_us = simulation->now_us;
}

static void
advance(struct simulation *simulation)
{
	const struct load_case *load = simulation->load;
	double per_vm_s = PROBES_PER_TARGET_S * load->targets / load->vms;
	uint32_t i;

	overload_update_targets(simulation);
	for (i = 0; i < load->targets; i++) {
		if (!overload_is_on(simulation, simulation->now_us) ||
		    simulation->targets[i].gone)
			continue;
		simulation->busy_ms += simulation->targets[i].running;
		simulation->free_ms +=
		    load->slots - simulation->targets[i].running;
	}
	for (i = 0; i < load->vms; i++) {
		struct vm *vm = &simulation->vms[i];

		vm->probe_tokens_max = per_vm_s;
		vm->probe_tokens += per_vm_s * (double)STEP_US / 1e6;
		if (vm->probe_tokens > per_vm_s)
			vm->probe_tokens = per_vm_s;
		if (vm->dispatch_us <= simulation->now_us)
			dispatch(simulation, vm);
	}
	for (i = 0; i < CALLS_MAX; i++) {
		struct call *call = &simulation->calls[i];

		if (call->state == SENT)
			advance_sent(simulation, call);
		else if (call->state == PROBING &&
			 call->resume_us <= simulation->now_us)
			place_call(simulation, call);
		else if (call->state == AWAY &&
			 call->resume_us <= simulation->now_us)
			arrive(simulation, call);
	}
	receive_calls(simulation);
	if (simulation->order == ORDER_IDEAL)
		overload_dispatch_ideal(simulation);
}

/* All VMs forget what they know; their calls are served on. */
static void
restart_vms(struct simulation *simulation)
{
	uint32_t vm, i;

	for (vm = 0; vm < simulation->load->vms; vm++) {
		for (i = 0; i < simulation->load->targets; i++) {
			struct bl_target *target =
			    simulation->vms[vm].targets[i];

			bl_target_restarted(target);
			target->draining = simulation->targets[i].gone;
		}
		simulation->vms[vm].pool->mean_other_per_slot = 0.0;
		simulation->vms[vm].pool->service_time_us = 50000.0;
	}
}

void
overload_simulate(struct simulation *simulation, const struct load_case *load,
    enum order order, uint64_t seed)
{
	int64_t end_us;

	set_up(simulation, load, order, seed);
	end_us = simulation->start_us + DURATION_MS * MS;
	for (; simulation->now_us < end_us; simulation->now_us += STEP_US) {
		if (load->restarts &&
		    simulation->now_us ==
			simulation->start_us + OVERLOAD_FROM_MS * MS)
			restart_vms(simulation);
		advance(simulation);
	}
	tear_down(simulation);
}

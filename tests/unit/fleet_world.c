#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet_world_internal.h"

#define SAME_LATENCY (300)
#define OTHER_LATENCY (1 * FW_MS)
#define REGION_LATENCY (13 * FW_MS)
#define STORE_LIST (60 * FW_MS)
#define STORE_CHANGE (5 * FW_MS)
#define TARGETS 990
#define TARGET_BYTES 300

struct fw_world *fw_world;
uint32_t fw_running = UINT32_MAX;

int64_t __wrap_cs_now_us(void);

int64_t
fw_clock(const struct fw_world *world, uint32_t vm)
{
	return world->now_us - world->vms[vm].stopped_us;
}

int64_t
__wrap_cs_now_us(void)
{
	return fw_running == UINT32_MAX ? fw_world->now_us
					: fw_clock(fw_world, fw_running);
}

bool
fw_runs(const struct fw_world *world, uint32_t vm)
{
	return world->vms[vm].alive &&
	       world->now_us >= world->vms[vm].frozen_until_us;
}

static bool
is_before(const struct fw_event *a, const struct fw_event *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

void
fw_push(struct fw_event event)
{
	struct fw_world *world = fw_world;
	uint32_t at = world->heap_count++;

	if (world->heap_count > world->heap_capacity) {
		world->heap_capacity = world->heap_capacity * 2 + 1024;
		world->heap = realloc(
		    world->heap, world->heap_capacity * sizeof(*world->heap));
		if (world->heap == NULL)
			abort();
	}
	event.order = world->pushed++;
	for (; at > 0 && is_before(&event, &world->heap[(at - 1) / 2]);
	     at = (at - 1) / 2)
		world->heap[at] = world->heap[(at - 1) / 2];
	world->heap[at] = event;
}

static struct fw_event
pop(void)
{
	struct fw_world *world = fw_world;
	struct fw_event first = world->heap[0];
	struct fw_event last = world->heap[--world->heap_count];
	uint32_t at = 0, child;

	while ((child = 2 * at + 1) < world->heap_count) {
		if (child + 1 < world->heap_count &&
		    is_before(&world->heap[child + 1], &world->heap[child]))
			child++;
		if (!is_before(&world->heap[child], &last))
			break;
		world->heap[at] = world->heap[child];
		at = child;
	}
	world->heap[at] = last;
	return first;
}

struct sockaddr_in
fw_address(uint32_t vm)
{
	return (struct sockaddr_in){.sin_family = AF_INET,
	    .sin_port = htons(7000),
	    .sin_addr.s_addr = htonl(0x0a000000 + vm + 1)};
}

uint32_t
fw_vm_at(const struct sockaddr_in *address)
{
	return ntohl(address->sin_addr.s_addr) - 0x0a000000 - 1;
}

enum fw_where
fw_where(uint32_t from, uint32_t to)
{
	const struct fw_vm *a = &fw_world->vms[from], *b = &fw_world->vms[to];

	return a->region != b->region		  ? FW_REGION
	       : a->data_centre != b->data_centre ? FW_OTHER
						  : FW_SAME;
}

int64_t
fw_latency(uint32_t from, uint32_t to)
{
	static const int64_t by_where[] = {
	    SAME_LATENCY, OTHER_LATENCY, REGION_LATENCY};

	return by_where[fw_where(from, to)];
}

bool
fw_is_lost(void)
{
	return cs_random_unit(&fw_world->random) < fw_world->loss;
}

/* The VM and the store. */
static void
apply(struct fw_vm *vm, const struct fl_update *update)
{
	struct os_batch changed;
	int error = update->snapshot
			? os_cache_apply_snapshot(
			      vm->cache, update->kind, &update->batch, &changed)
			: os_cache_apply_changes(vm->cache, update->kind,
			      &update->batch, &changed);

	if (error != CS_OK)
		return;
	if (changed.count > 0)
		fl_send_update(vm->fleet, update);
	free(changed.changes);
	fl_set_ready(vm->fleet, true);
}

/* Brings the VM up to date with the store. */
static void
read_store(struct fw_vm *vm)
{
	struct fl_update update = {.kind = 0};

	if (os_cache_changes_since(fw_world->store, 0,
		os_cache_revision(vm->cache, 0), &update.batch,
		&update.snapshot) != CS_OK)
		return;
	apply(vm, &update);
	free(update.batch.changes);
}

static void
list_nodes(uint32_t number)
{
	struct fw_vm *vm = &fw_world->vms[number];
	uint32_t i;

	fw_world->registered[number] = true;
	for (i = 0; i < fw_world->vm_count; i++) {
		struct fl_node node = {.fleet = fw_address(i)};

		if (!fw_world->registered[i] || i == number)
			continue;
		node.region =
		    fw_world->vms[i].fleet == NULL
			? 1
			: fw_world->vms[i].fleet->membership.self.region;
		node.same_region = fw_world->vms[i].region == vm->region;
		snprintf(node.name, sizeof(node.name), "entry-%03u", i);
		snprintf(node.data_centre, sizeof(node.data_centre),
		    "region%u-dc%u", fw_world->vms[i].region,
		    fw_world->vms[i].data_centre);
		fl_add_node(vm->fleet, &node);
	}
	fl_nodes_listed(vm->fleet);
}

static void
on_listed(uint32_t number)
{
	struct fw_vm *vm = &fw_world->vms[number];

	vm->lists = false;
	if (vm->role != FL_ROLE_WATCH_STORE)
		return;
	vm->watches = true;
	read_store(vm);
	fl_set_current(vm->fleet, true);
	list_nodes(number);
}

static void
on_role(void *user, enum fl_role role, const struct fl_node *leader)
{
	struct fw_vm *vm = user;
	uint32_t number = (uint32_t)(vm - fw_world->vms);

	(void)leader;
	vm->role = role;
	if (role != FL_ROLE_WATCH_STORE) {
		vm->watches = false;
		fl_set_current(vm->fleet, false);
	} else if (!vm->watches && !vm->lists) {
		vm->lists = true;
		fw_push(
		    (struct fw_event){.at_us = fw_world->now_us + STORE_LIST,
			.type = EVENT_LISTED,
			.vm = number,
			.process = vm->process});
	}
}

static void
on_update(void *user, const struct fl_update *update)
{
	apply(user, update);
}

static void
on_node(void *user, const struct fl_node *node, bool returned)
{
	(void)user;
	(void)node;
	(void)returned;
}

static const struct fl_events events = {
    .on_role = on_role, .on_update = on_update, .on_node = on_node};

static void
put_target(uint32_t number)
{
	char name[32], text[TARGET_BYTES + 1];
	struct os_change change = {
	    .name = "", .revision = ++fw_world->revision};
	struct os_batch batch = {.revision = fw_world->revision,
			    .count = 1,
			    .changes = &change},
			changed;
	size_t i;

	snprintf(name, sizeof(name), "target-%u", number);
	cs_copy_text(change.name, sizeof(change.name), name);
	if (change.revision >= FW_REVISIONS_MAX)
		abort();
	fw_world->changed_us[change.revision] = fw_world->now_us;
	/* As registrations are: field names that repeat, and some values. */
	for (i = 0; i < TARGET_BYTES; i++)
		text[i] = i % 6 == 0 ? "0123456789abcdef"[cs_random_below(
					   &fw_world->random, 16)]
				     : (char)('a' + i % 26);
	text[i] = '\0';
	change.text = text;
	change.text_length = strlen(text);
	if (os_cache_apply_changes(fw_world->store, 0, &batch, &changed) ==
	    CS_OK)
		free(changed.changes);
}

int64_t
fw_lag(const struct fw_world *world, uint32_t vm)
{
	uint64_t known = os_cache_revision(world->vms[vm].cache, 0);

	return known >= world->revision
		   ? 0
		   : world->now_us - world->changed_us[known + 1];
}

void
fw_change_target(struct fw_world *world)
{
	uint32_t i;

	put_target(cs_random_below(&world->random, TARGETS));
	for (i = 0; i < world->vm_count; i++) {
		if (world->vms[i].watches)
			fw_push((struct fw_event){
			    .at_us = world->now_us + STORE_CHANGE,
			    .type = EVENT_CHANGED,
			    .vm = i,
			    .process = world->vms[i].process});
	}
}

static void
handle(struct fw_event *event)
{
	struct fw_vm *vm = &fw_world->vms[event->vm];

	if (event->type == EVENT_LISTED)
		on_listed(event->vm);
	else if (event->type != EVENT_CHANGED)
		fw_handle_uv(event);
	else if (vm->watches)
		read_store(vm);
}

static void
dispatch(struct fw_event *event)
{
	struct fw_vm *vm;

	if (event->vm == UINT32_MAX) {
		fw_handle_uv(event);
		return;
	}
	vm = &fw_world->vms[event->vm];
	if (event->type == EVENT_WRITTEN) { /* frees memory in any case */
		fw_running = event->vm;
		handle(event);
		fw_running = UINT32_MAX;
		return;
	}
	if (!vm->alive ||
	    (event->process != 0 && event->process != vm->process))
		return;
	if (!fw_runs(fw_world, event->vm)) {
		event->at_us = vm->frozen_until_us;
		fw_push(*event);
		event->data = NULL;
		return;
	}
	fw_running = event->vm;
	handle(event);
	fw_running = UINT32_MAX;
}

void
fw_run(struct fw_world *world, int64_t for_us)
{
	int64_t until_us = world->now_us + for_us;

	while (world->heap_count > 0 && world->heap[0].at_us < until_us) {
		struct fw_event event = pop();

		world->now_us = event.at_us;
		dispatch(&event);
		free(event.data);
	}
	world->now_us = until_us;
}

/* The first two VMs of each region are seeds of all VMs. */
static void
set_seeds(struct fl_params *params)
{
	uint32_t i;

	for (i = 0; i < 2 * FW_REGIONS && i < fw_world->vm_count; i++)
		params->seeds[params->seed_count++] = fw_address(i);
}

void
fw_start(struct fw_world *world, uint32_t number)
{
	struct fw_vm *vm = &world->vms[number];
	struct fl_params params = {.loop = &vm->loop,
	    .cache = vm->cache = os_cache_create(),
	    .kind_count = 1,
	    .events = &events,
	    .user = vm};

	vm->alive = true;
	vm->process++;
	vm->role = FL_ROLE_UNDECIDED;
	vm->lists = vm->watches = false;
	vm->frozen_until_us = 0;
	vm->loop.data = vm;
	snprintf(params.region, sizeof(params.region), "region%u", vm->region);
	snprintf(
	    params.self.name, sizeof(params.self.name), "entry-%03u", number);
	snprintf(params.self.data_centre, sizeof(params.self.data_centre),
	    "region%u-dc%u", vm->region, vm->data_centre);
	params.self.fleet = params.self.listen_address = fw_address(number);
	params.self.listen_address.sin_port = htons(8000);
	params.self.boot = cs_random_next(&world->random);
	params.self.capacity = number / 9 % 7;
	params.self.tells_era = true;
	params.self.features = FL_FEATURES;
	set_seeds(&params);
	if (world->on_params != NULL)
		world->on_params(number, &params);
	fw_running = number;
	if (fl_create(&params, &vm->fleet) != CS_OK)
		abort();
	fw_running = UINT32_MAX;
}

void
fw_kill(struct fw_world *world, uint32_t number)
{
	struct fw_vm *vm = &world->vms[number];

	if (!vm->alive)
		return;
	vm->alive = vm->watches = false;
	vm->process++;
	fl_close(vm->fleet);
	/* Its handles are freed once their close callbacks have run. */
	os_cache_free(vm->cache);
	vm->cache = NULL;
}

void
fw_freeze(struct fw_world *world, uint32_t vm, int64_t for_us)
{
	world->vms[vm].frozen_until_us = world->now_us + for_us;
	world->vms[vm].stopped_us += for_us;
}

void
fw_stop(struct fw_world *world, uint32_t vm, int64_t for_us)
{
	world->vms[vm].frozen_until_us = world->now_us + for_us;
}

struct fl_node *
fw_entry(const struct fw_world *world, uint32_t vm, uint32_t other)
{
	struct sockaddr_in address = fw_address(other);

	return fl_membership_find(&world->vms[vm].fleet->membership, &address);
}

bool
fw_hears(const struct fw_world *world, uint32_t vm, uint32_t other)
{
	const struct fl_node *node = fw_entry(world, vm, other);

	return node != NULL && fl_node_is_alive(node, fw_clock(world, vm));
}

bool
fw_may_name(const struct fw_world *world, uint32_t vm, uint32_t other)
{
	const struct fl_node *node = fw_entry(world, vm, other);

	return fw_hears(world, vm, other) && node->same_region && node->ready &&
	       !node->stopping;
}

void
fw_reset_counters(struct fw_world *world)
{
	uint32_t i;

	for (i = 0; i < world->vm_count; i++) {
		struct fw_vm *vm = &world->vms[i];

		memset(vm->sent_bytes, 0, sizeof(vm->sent_bytes));
		memset(vm->ack_bytes, 0, sizeof(vm->ack_bytes));
		vm->received_bytes = vm->datagrams = 0;
	}
}

struct fw_world *
fw_create(uint32_t vm_count, uint64_t seed)
{
	uint32_t i;

	fw_world = calloc(1, sizeof(*fw_world));
	if (fw_world == NULL)
		abort();
	fw_world->now_us = FW_START;
	fw_world->vm_count = vm_count;
	fw_world->store = os_cache_create();
	cs_random_seed(&fw_world->random, seed);
	for (i = 0; i < vm_count; i++) {
		fw_world->vms[i].region = i % FW_REGIONS;
		fw_world->vms[i].data_centre = i / FW_REGIONS % FW_DATA_CENTRES;
	}
	for (i = 0; i < TARGETS; i++)
		put_target(i);
	return fw_world;
}

void
fw_free(struct fw_world *world)
{
	uint32_t i;

	for (i = 0; i < world->vm_count; i++)
		fw_kill(world, i);
	fw_run(world, FW_SECOND);
	while (world->heap_count > 0)
		free(pop().data);
	fw_free_connections();
	os_cache_free(world->store);
	free(world->heap);
	free(world);
	fw_world = NULL;
}

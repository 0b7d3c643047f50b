/* The gateway: creation, routing table, targets, and shutdown. */
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "gateway_internal.h"

/* Interval of checks for idle connections and unanswered probes. */
#define SWEEP_MS 200
/* Limits until the first routing table is set. */
#define HEAD_BYTES_INITIAL (16 * 1024)
#define BODY_BYTES_INITIAL (1024 * 1024)
#define HEAD_TIMEOUT_INITIAL_MS 3000
#define IDLE_TIMEOUT_INITIAL_MS 15000

static void
on_request(struct h1_conn *conn, const struct h1_message *request)
{
	gw_call_begin(h1_conn_user(conn), conn, request);
}

static void
on_disconnect(struct h1_conn *conn)
{
	struct gw_call *call = h1_conn_call(conn);

	if (call != NULL)
		gw_call_abandon(call);
}

/* Without a configuration it is not known what is too large. */
static const struct h1_response *
error_response(void *user, int status)
{
	static const char headers[] = "Retry-After: 0.5\r\n";
	static const struct h1_response not_ready = {.status = 503,
	    .headers = headers,
	    .headers_length = sizeof(headers) - 1};
	const struct gw *gw = user;

	return gw->table == NULL && (status == 413 || status == 431)
		   ? &not_ready
		   : NULL;
}

static const struct h1_server_events server_events = {
    .error_response = error_response,
    .on_request = on_request,
    .on_disconnect = on_disconnect,
};

static void
on_sweep(uv_timer_t *timer)
{
	struct gw *gw = timer->data;
	int64_t now_us = cs_now_us();
	GList *targets = g_hash_table_get_values(gw->targets), *at;

	gw_tick_quotas(gw);
	h1_server_sweep(gw->server, now_us);
	for (at = targets; at != NULL; at = at->next) {
		struct bl_target *target = at->data;

		if (target->connections != NULL)
			gw_target_connections_sweep(
			    target->connections, now_us);
	}
	g_list_free(targets);
}

int
gw_create(const struct gw_params *params, struct gw **out)
{
	struct gw *gw = calloc(1, sizeof(*gw));
	struct h1_server_params server = {
	    .loop = params->loop,
	    .address = params->listen_address,
	    .limits = {HEAD_BYTES_INITIAL, BODY_BYTES_INITIAL},
	    .head_timeout_ms = HEAD_TIMEOUT_INITIAL_MS,
	    .idle_timeout_ms = IDLE_TIMEOUT_INITIAL_MS,
	    .connections_max = params->connections_max,
	    .address_connections_max = params->address_connections_max,
	    .memory = params->memory,
	    .bodies_bytes_max = params->memory_bytes_max,
	    .events = &server_events,
	    .user = gw,
	};

	if (gw == NULL)
		return CS_E_SYSTEM;
	gw->params = *params;
	gw->start_us = cs_now_us();
	gw->boot_offset_us = cs_boot_us() - gw->start_us;
	if (h1_server_create(&server, &gw->server) != CS_OK) {
		free(gw);
		return CS_E_SYSTEM;
	}
	gw->pools = g_hash_table_new(g_str_hash, g_str_equal);
	gw->targets = g_hash_table_new(g_str_hash, g_str_equal);
	gw->processes = g_hash_table_new(g_int64_hash, g_int64_equal);
	cs_random_seed(&gw->random, params->seed);
	gw->next_number = cs_random_next(&gw->random) >> 32;

	uv_timer_init(params->loop, &gw->sweep);
	gw->sweep.data = gw->check_timer.data = gw;
	uv_timer_init(params->loop, &gw->check_timer);
	gw->callbacks = &gw_call_callbacks;
	uv_timer_start(&gw->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
	*out = gw;
	return CS_OK;
}

/* Lets a request in progress keep what it needs of the table it began with. */
static void
leave_table(void *call_arg, void *table)
{
	struct gw_call *call = call_arg;
	struct rt_table *excerpt;

	if (call->table != table || call->route == NULL)
		return;
	excerpt = rt_table_excerpt(call->table, call->route, call->tenant);
	if (excerpt == NULL)
		return; /* it keeps the whole table */
	call->table = excerpt;
	call->route = excerpt->routes;
	call->tenant = excerpt->tenants;
	rt_table_unref(table);
}

void
gw_set_table(struct gw *gw, struct rt_table *table)
{
	uint32_t i;

	cs_ref_take(&table->ref);
	rt_table_count(table, gw->params.memory);
	if (gw->table != NULL)
		h1_server_for_each_call(gw->server, leave_table, gw->table);
	rt_table_unref(gw->table);
	gw->table = table;
	gw_match_regions(gw);
	for (i = 0; i < table->pool_count; i++) {
		struct gw_pool *pool = gw_pool_of(gw, table->pools[i].name);

		if (pool == NULL)
			continue;
		memcpy(pool->health_path, table->pools[i].health_path,
		    sizeof(pool->health_path));
		pool->connections_max = table->pools[i].connections_max;
		pool->balance->cold_per_s = gw->params.limit_cold_targets
						? table->pools[i].warm_up_per_s
						: 0.0;
	}
	gw_set_quotas(gw, table);
	h1_server_set_limits(gw->server,
	    (struct h1_limits){
		table->limits.head_bytes, table->limits.body_bytes},
	    table->limits.head_timeout_ms, table->limits.idle_timeout_ms);
}

const struct rt_table *
gw_table(const struct gw *gw)
{
	return gw->table;
}

void
gw_set_loaded(struct gw *gw)
{
	assert(gw->table != NULL);
	gw->loaded = true;
	gw_release_held_calls(gw);
}

void
gw_set_region(struct gw *gw, uint32_t live_nodes, uint32_t ready_nodes)
{
	gw->live_nodes = live_nodes;
	gw->ready_nodes = ready_nodes;
}

static void
remove_target(struct gw *gw, struct bl_target *target)
{
	struct gw_pool *pool = gw_pool_of_target(target);

	cs_ref_take(&target->ref);
	g_hash_table_remove(gw->targets, target->id);
	g_hash_table_remove(gw->processes, &target->process);
	bl_pool_remove(pool->balance, target);
	if (target->connections != NULL)
		gw_target_connections_close(target->connections);
	bl_target_unref(target);
}

static struct bl_target *
add_target(struct gw *gw, const struct gw_target_info *info)
{
	struct gw_pool *pool = gw_pool_of(gw, info->pool);
	struct bl_target *target = bl_target_create(info->id);

	if (pool == NULL || target == NULL ||
	    bl_pool_add(pool->balance, target) != CS_OK) {
		bl_target_unref(target);
		return NULL;
	}
	bl_target_set_process(target, info->process_start_ms);
	g_hash_table_insert(gw->targets, target->id, target);
	g_hash_table_insert(gw->processes, &target->process, target);
	return target;
}

static bool
is_other_process(
    const struct bl_target *target, const struct gw_target_info *info)
{
	return target->process_start_ms != info->process_start_ms ||
	       target->address.sin_addr.s_addr !=
		   info->address.sin_addr.s_addr ||
	       target->address.sin_port != info->address.sin_port ||
	       strcmp(target->pool->name, info->pool) != 0;
}

/* An address has one target at a time: the one that had it before has ended. */
static void
replace_at_address(struct gw *gw, const struct bl_target *target)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gw->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bl_target *other = value;

		if (other != target && other->connections != NULL &&
		    !other->draining && !other->leaving &&
		    other->address.sin_port == target->address.sin_port &&
		    other->address.sin_addr.s_addr ==
			target->address.sin_addr.s_addr)
			gw_target_replaced(other->connections);
	}
}

void
gw_update_target(struct gw *gw, const struct gw_target_info *info)
{
	struct bl_target *target = g_hash_table_lookup(gw->targets, info->id);
	bool is_new = target == NULL, draining;

	if (target != NULL && is_other_process(target, info)) {
		if (target->connections != NULL && !target->draining)
			gw_target_replaced(target->connections);
		remove_target(gw, target);
		target = NULL;
	}
	if (target == NULL)
		target = add_target(gw, info);
	if (target == NULL)
		return;
	/* A process that leaves stays so, whatever an older copy says. */
	draining =
	    info->draining || (target->draining && info->process_start_ms != 0);
	if (is_new || target->draining != draining)
		cs_log(draining ? CS_LOG_TARGET_LEAVING : CS_LOG_TARGET_SEEN,
		    "target=%s pool=%s slots=%u born_ms=%llu", info->id,
		    info->pool, info->slots,
		    (unsigned long long)info->process_start_ms);
	target->address = info->address;
	target->data_centre = info->data_centre;
	if (info->slots > 0)
		target->slots = info->slots;
	if (is_new && gw->loaded)
		replace_at_address(gw, target);
	bl_set_draining(target, draining);
	gw_set_cold_until(gw, target, info->warm_up_left_ms);
	gw->callbacks->dispatch_waiting(gw_pool_of_target(target));
}

void
gw_remove_target(struct gw *gw, const char *id)
{
	struct bl_target *target = g_hash_table_lookup(gw->targets, id);

	if (target == NULL)
		return;
	cs_log(CS_LOG_TARGET_GONE, "target=%s pool=%s in_flight=%u", id,
	    target->pool->name, target->in_flight);
	if (target->connections != NULL && !target->draining)
		gw_target_gone(target->connections);
	remove_target(gw, target);
}

bool
gw_find_target(const struct gw *gw, const char *id, struct gw_target_state *out)
{
	const struct bl_target *target = g_hash_table_lookup(gw->targets, id);

	if (target == NULL)
		return false;
	*out = (struct gw_target_state){
	    .process_start_ms = target->process_start_ms,
	    .leaving = target->draining || target->leaving,
	};
	return true;
}

void
gw_set_node_count(struct gw *gw, uint32_t node_count)
{
	gw->params.budget.node_count = node_count;
}

void
gw_set_quota_node_count(struct gw *gw, uint32_t node_count)
{
	gw->params.quota.node_count = node_count;
}

void
gw_stop(struct gw *gw, const struct bl_stop_plan *plan)
{
	int64_t now_us = cs_now_us();

	gw->stopping = true;
	gw->long_attempts_until_us = now_us + plan->long_attempts_until_us;
	gw->end_calls_us = now_us + plan->end_calls_us;
	h1_server_drain(gw->server);
}

static void
end_waiting_list(struct gw_call *call, int64_t received_before_us)
{
	struct gw_call *next;

	for (; call != NULL; call = next) {
		next = call->next;
		if (call->received_us < received_before_us)
			gw_refuse_stopping(call);
	}
}

static void
end_queue(struct bl_queue_entry *entry, int64_t received_before_us)
{
	struct bl_queue_entry *next;

	for (; entry != NULL; entry = next) {
		next = entry->next;
		if (entry->received_us < received_before_us)
			gw_refuse_stopping(gw_queued_call(entry));
	}
}

void
gw_end_waiting(struct gw *gw, int64_t received_before_us)
{
	GHashTableIter iter;
	gpointer value;

	end_waiting_list(gw->held, received_before_us);
	gw_for_each_awaiting_quota(gw, received_before_us, end_waiting_list);
	g_hash_table_iter_init(&iter, gw->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gw_pool *pool = value;

		end_queue(pool->queue.first, received_before_us);
		end_waiting_list(pool->awaiting_probes, received_before_us);
	}
}

static void
end_call(void *call, void *arg)
{
	(void)arg;
	gw_end_call(call);
}

void
gw_end_calls(struct gw *gw)
{
	h1_server_for_each_call(gw->server, end_call, NULL);
}

void
gw_close_idle(struct gw *gw)
{
	h1_server_stop(gw->server);
	h1_server_close_idle(gw->server);
}

bool
gw_is_drained(const struct gw *gw)
{
	return h1_server_connections(gw->server) == 0;
}

const struct gw_counters *
gw_get_counters(const struct gw *gw)
{
	return &gw->counters;
}

void
gw_for_each_pool(const struct gw *gw,
    void (*visit)(void *arg, const struct bl_pool *pool, uint32_t waiting),
    void *arg)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gw->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gw_pool *pool = value;

		visit(arg, pool->balance, pool->queue.count);
	}
}

const struct h1_server *
gw_server(const struct gw *gw)
{
	return gw->server;
}

uint32_t
gw_caller_connections(const struct gw *gw)
{
	return h1_server_connections(gw->server);
}

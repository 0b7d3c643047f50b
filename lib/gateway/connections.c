/*
 * Connections to targets. Each carries one request at a time and is kept open
 * for reuse. A connection is closed as soon as it is uncertain which request
 * the bytes on it belong to.
 */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "gateway_internal.h"

/*
 * A connection whose bytes stay unacknowledged for this long is closed; it is
 * enough for three retransmissions between regions.
 */
#define UNACKED_TIMEOUT_MS 700
#define KEEPALIVE_PROBES_MAX 2
/* Far longer than a probe to another region takes. */
#define PROBE_TIMEOUT_US 400000
/*
 * A target may have closed an idle connection before the gateway sees it. A
 * request that is not idempotent only uses a connection that has been idle for
 * less than this.
 */
#define IDLE_NOT_IDEMPOTENT_MAX_US 1000000

/*
 * Checks that are pending are looked at so often. One counts as unanswered
 * after two looks, so that an answer that waits in this process is read between
 * them.
 */
#define CHECK_TICK_MS 40
#define CHECK_TICKS_MIN 2
/* Three round trips between regions. */
#define CHECK_TIMEOUT_US 75000

static void drop_connection(struct gw_connection *connection);

static void
remove_from_idle(struct gw_connection *connection)
{
	struct gw_connection **at = &connection->owner->idle;

	while (*at != NULL && *at != connection)
		at = &(*at)->next_idle;
	if (*at == connection)
		*at = connection->next_idle;
}

static void
free_connections_if_unused(struct gw_target_connections *connections)
{
	struct bl_target *target = connections->target;

	if (connections->open_count > 0 || target->pool != NULL)
		return;
	target->connections = NULL;
	free(connections);
	bl_target_unref(target);
}

static struct gw_target_connections *
connections_of(struct gw *gw, struct bl_target *target)
{
	struct gw_target_connections *connections = target->connections;

	if (connections != NULL)
		return connections;
	connections = calloc(1, sizeof(*connections));
	if (connections == NULL)
		return NULL;
	connections->gw = gw;
	connections->target = target;
	cs_ref_take(&target->ref);
	target->connections = connections;
	return connections;
}

static enum h1_keep
release_connection(
    struct gw_connection *connection, const struct h1_message *response)
{
	struct gw_target_connections *owner = connection->owner;

	connection->call = NULL;
	connection->probing = false;
	if (!response->keep_alive || owner->target->draining ||
	    connection->unmatchable) {
		connection->h1 = NULL;
		drop_connection(connection);
		return H1_CLOSE;
	}
	connection->last_used_us = cs_now_us();
	connection->idle_limit_us = gw_idle_limit_us(response);
	memcpy(connection->previous_id, connection->id,
	    sizeof(connection->previous_id));
	connection->reused = true;
	connection->next_idle = owner->idle;
	owner->idle = connection;
	return H1_KEEP;
}

static enum h1_keep
on_probe_response(
    struct gw_connection *connection, const struct h1_message *response)
{
	const struct gw_header_names *header_names =
	    connection->owner->gw->params.header_names;
	struct bl_target *target = connection->owner->target;
	struct gw_pool *pool = gw_pool_of_target(target);
	enum h1_keep keep;

	connection->owner->heard_us = cs_now_us();
	if (h1_find_header(response, header_names->request_id) != NULL) {
		/* Late response to the previous request. */
		connection->owner->gw->callbacks->heard(
		    connection->owner, response, BL_GARBLED);
		return H1_AWAIT_NEXT;
	}
	connection->owner->gw->callbacks->heard(
	    connection->owner, response, BL_SERVED);
	connection->owner->probe = NULL;
	target->probing = false;
	/* The target is unhealthy; ignores the speed that it reports. */
	if (response->status != 200)
		target->load.slowness_pct = 0;
	cs_ref_take(&target->ref);
	/*
	 * The request before the probe may still be answered a second time, so
	 * its id is kept.
	 */
	memcpy(connection->id, connection->previous_id, sizeof(connection->id));

	keep = release_connection(connection, response);
	if (pool != NULL)
		pool->gw->callbacks->probe_ended(pool, target);
	bl_target_unref(target);
	return keep;
}

static enum h1_keep
on_call_response(
    struct gw_connection *connection, const struct h1_message *response)
{
	const struct gw_header_names *header_names =
	    connection->owner->gw->params.header_names;
	struct gw_call *call = connection->call;
	enum bl_outcome outcome;
	enum h1_keep keep;

	connection->owner->heard_us = cs_now_us();
	switch (gw_match_response(connection, response)) {
	case GW_MATCH_PREVIOUS:
		call->gw->callbacks->heard(
		    connection->owner, response, BL_GARBLED);
		return H1_AWAIT_NEXT;
	case GW_MATCH_NONE:
		call->connection = NULL;
		connection->h1 = NULL;
		drop_connection(connection);
		call->gw->callbacks->attempt_ended(call, BL_GARBLED, NULL);
		return H1_CLOSE;
	case GW_MATCH_CURRENT:
		break;
	}
	outcome = gw_classify_response(header_names, response);
	call->gw->callbacks->heard(connection->owner, response, outcome);
	call->connection = NULL;
	keep = release_connection(connection, response);
	call->gw->callbacks->attempt_ended(call, outcome, response);
	return keep;
}

static enum h1_keep
on_response(struct h1_client_conn *h1, const struct h1_message *response)
{
	struct gw_connection *connection = h1_client_conn_owner(h1);

	return connection->probing ? on_probe_response(connection, response)
				   : on_call_response(connection, response);
}

static enum bl_outcome
outcome_of_end(const struct gw_connection *connection, enum h1_end end)
{
	if (end == H1_END_CONNECT_FAILED ||
	    !h1_client_conn_sent(connection->h1))
		return BL_UNREACHED;
	/* Not the target's fault; another attempt would get no room either. */
	if (end == H1_END_NO_MEMORY)
		return BL_CANCELLED;
	return end == H1_END_PROTOCOL_ERROR ? BL_GARBLED : BL_LOST;
}

static void
finish_probe(struct gw_connection *connection, enum h1_end end)
{
	struct bl_target *target = connection->owner->target;
	struct gw_pool *pool = gw_pool_of_target(target);

	connection->owner->probe = NULL;
	target->probing = false;
	bl_request_started(target, cs_now_us());
	bl_request_ended(
	    target, outcome_of_end(connection, end), 0, cs_now_us());
	if (pool != NULL)
		pool->gw->callbacks->probe_ended(pool, target);
}

static void
on_end(struct h1_client_conn *h1, enum h1_end end)
{
	struct gw_connection *connection = h1_client_conn_owner(h1);
	struct gw_call *call = connection->call;
	struct bl_target *target = connection->owner->target;

	cs_ref_take(&target->ref);
	remove_from_idle(connection);
	if (connection->checking)
		connection->owner->gw->callbacks->check_ended(connection->owner,
		    end == H1_END_CONNECT_FAILED ? GW_CHECK_REFUSED
						 : GW_CHECK_SILENT);
	if (connection->probing)
		finish_probe(connection, end);
	if (call != NULL) {
		enum bl_outcome outcome = outcome_of_end(connection, end);

		call->connection = NULL;
		connection->h1 = NULL;
		if (outcome == BL_LOST && !target->draining && !target->leaving)
			call->gw->callbacks->request_lost(
			    connection->owner, call, end);
		drop_connection(connection);
		call->gw->callbacks->attempt_ended(call, outcome, NULL);
	} else {
		connection->h1 = NULL;
		drop_connection(connection);
	}
	bl_target_unref(target);
}

/* A connection that was opened for a check serves requests afterwards. */
static void
on_connect(struct h1_client_conn *h1)
{
	struct gw_connection *connection = h1_client_conn_owner(h1);
	struct gw_target_connections *owner = connection->owner;

	if (!connection->checking)
		return;
	owner->gw->callbacks->check_ended(owner, GW_CHECK_ACCEPTED);
	if (owner->target->draining) {
		drop_connection(connection);
		return;
	}
	connection->last_used_us = cs_now_us();
	connection->idle_limit_us = GW_IDLE_DEFAULT_US;
	connection->next_idle = owner->idle;
	owner->idle = connection;
}

static const struct h1_client_conn_events events = {
    .on_connect = on_connect,
    .on_response = on_response,
    .on_end = on_end,
};

/* Frees the connection and closes its socket unless that has ended already. */
static void
drop_connection(struct gw_connection *connection)
{
	struct gw_target_connections *owner = connection->owner;

	remove_from_idle(connection);
	if (connection->h1 != NULL)
		h1_client_conn_close(connection->h1);
	owner->open_count--;
	free(connection);
	free_connections_if_unused(owner);
}

/*
 * Returns this VM's share of the connections that a target accepts, or 0 if
 * there is no limit.
 */
static uint32_t
connection_share(const struct gw_target_connections *connections)
{
	const struct gw_pool *pool = gw_pool_of_target(connections->target);
	uint32_t node_count = connections->gw->params.budget.node_count;

	if (pool == NULL || pool->connections_max == 0)
		return 0;
	if (node_count <= 1)
		return pool->connections_max;
	return pool->connections_max > node_count
		   ? pool->connections_max / node_count
		   : 1;
}

/*
 * Returns true if another connection may be opened. Closes an idle one to make
 * room if necessary.
 */
static bool
has_room(struct gw_target_connections *connections)
{
	uint32_t share = connection_share(connections);

	if (share == 0 || connections->open_count < share)
		return true;
	if (connections->idle == NULL)
		return false;
	connections->open_count++; /* prevents connections from being freed */
	drop_connection(connections->idle);
	connections->open_count--;
	return connections->open_count < share;
}

static struct gw_connection *
open_connection(struct gw_target_connections *connections)
{
	struct gw *gw = connections->gw;
	struct gw_connection *connection = calloc(1, sizeof(*connection));
	struct h1_client_conn_params params = {
	    .loop = gw->params.loop,
	    .address = connections->target->address,
	    .limits = {H1_HEAD_BYTES_MAX, gw->params.response_bytes_max},
	    .memory = gw->params.memory,
	    .borrows_body = true, /* the caller's connection holds it */
	    .unacked_timeout_ms = UNACKED_TIMEOUT_MS,
	    .keepalive_probes_max = KEEPALIVE_PROBES_MAX,
	    .events = &events,
	    .owner = connection,
	};

	if (connection == NULL)
		return NULL;
	if (h1_client_conn_open(&params, &connection->h1) != CS_OK) {
		free(connection);
		return NULL;
	}
	connection->owner = connections;
	connections->open_count++;
	gw->counters.connections_opened++;
	return connection;
}

/* Returns the idle connection that was used last, if it may be used. */
static struct gw_connection *
take_idle(struct gw_target_connections *connections, int64_t idle_max_us)
{
	struct gw_connection *connection = connections->idle;
	int64_t idle_us;

	if (connection == NULL)
		return NULL;
	idle_us = cs_now_us() - connection->last_used_us;
	if (idle_us >= connection->idle_limit_us || idle_us >= idle_max_us)
		return NULL;
	connections->idle = connection->next_idle;
	connection->next_idle = NULL;
	return connection;
}

static struct gw_connection *
open_if_room(struct gw_target_connections *connections)
{
	return has_room(connections) ? open_connection(connections) : NULL;
}

/*
 * A late response to an earlier request is known by its id. A request without
 * one, or with that of the previous request, gets a connection of its own.
 */
static bool
needs_own_connection(
    const struct gw_target_connections *connections, const struct gw_call *call)
{
	return call->id[0] == '\0' ||
	       (connections->idle != NULL &&
		   strcmp(connections->idle->previous_id, call->id) == 0);
}

static struct gw_connection *
acquire_connection(
    struct gw_target_connections *connections, const struct gw_call *call)
{
	int64_t idle_max_us = call->route->kind == RT_IDEMPOTENT
				  ? INT64_MAX
				  : IDLE_NOT_IDEMPOTENT_MAX_US;
	bool own = needs_own_connection(connections, call);
	struct gw_connection *connection =
	    own ? NULL : take_idle(connections, idle_max_us);

	if (connection == NULL)
		connection = open_if_room(connections);
	if (connection != NULL)
		connection->unmatchable = own;
	return connection;
}

int
gw_send(struct gw_call *call, struct bl_target *target)
{
	struct gw_target_connections *connections =
	    connections_of(call->gw, target);
	struct gw_connection *connection =
	    connections == NULL ? NULL : acquire_connection(connections, call);

	if (connection == NULL)
		return CS_E_SYSTEM;
	connection->call = call;
	call->connection = connection;
	memcpy(connection->id, call->id, sizeof(connection->id));
	if (gw_write_head(call, target) != CS_OK ||
	    h1_client_conn_send(connection->h1, &call->gw->head,
		&call->request->body,
		strcmp(call->request->method, "HEAD") == 0) != CS_OK) {
		call->connection = NULL;
		connection->call = NULL;
		drop_connection(connection);
		return CS_E_SYSTEM;
	}
	return CS_OK;
}

/* Ends a check that the target has not answered. */
static void
abort_check(struct gw_target_connections *connections)
{
	struct gw_connection *connection = connections->check;

	connections->gw->callbacks->check_ended(connections, GW_CHECK_SILENT);
	drop_connection(connection);
}

/* Returns true if a check is still pending afterwards. */
static bool
look_at_check(struct gw_target_connections *connections, int64_t now_us)
{
	if (connections == NULL || connections->check == NULL)
		return false;
	if (++connections->check_ticks < CHECK_TICKS_MIN ||
	    now_us - connections->check_started_us < CHECK_TIMEOUT_US)
		return true;
	abort_check(connections);
	return false;
}

static void
on_check_tick(uv_timer_t *timer)
{
	struct gw *gw = timer->data;
	int64_t now_us = cs_now_us();
	GList *targets = g_hash_table_get_values(gw->targets), *at;
	uint32_t pending = 0;

	for (at = targets; at != NULL; at = at->next)
		pending += look_at_check(
		    ((struct bl_target *)at->data)->connections, now_us);
	g_list_free(targets);
	if (pending == 0)
		uv_timer_stop(timer);
}

bool
gw_open_check(struct gw_target_connections *connections)
{
	struct gw *gw = connections->gw;
	struct gw_connection *connection = open_connection(connections);

	if (connection == NULL)
		return false;
	connection->checking = true;
	connections->check = connection;
	connections->check_started_us = cs_now_us();
	connections->check_ticks = 0;
	if (!uv_is_active((uv_handle_t *)&gw->check_timer))
		uv_timer_start(&gw->check_timer, on_check_tick, CHECK_TICK_MS,
		    CHECK_TICK_MS);
	return true;
}

void
gw_cancel(struct gw_call *call)
{
	struct gw_connection *connection = call->connection;

	if (connection == NULL)
		return;
	call->connection = NULL;
	connection->call = NULL;
	drop_connection(connection);
}

int
gw_probe(struct gw *gw, struct bl_target *target)
{
	struct gw_pool *pool = gw_pool_of_target(target);
	struct gw_target_connections *connections;
	struct gw_connection *connection;

	if (pool == NULL || target->probing || pool->health_path[0] == '\0')
		return CS_E_CONFLICT;
	connections = connections_of(gw, target);
	connection =
	    connections == NULL ? NULL : take_idle(connections, INT64_MAX);
	if (connection == NULL && connections != NULL)
		connection = open_if_room(connections);
	if (connection == NULL)
		return CS_E_SYSTEM;
	connection->id[0] = '\0';
	connection->probing = true;
	gw->head.length = 0;
	if (h1_bytes_print(&gw->head, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
		pool->health_path, pool->balance->name) != CS_OK ||
	    h1_client_conn_send(connection->h1, &gw->head, NULL, false) !=
		CS_OK) {
		drop_connection(connection);
		return CS_E_SYSTEM;
	}
	connections->probe = connection;
	target->probing = true;
	target->probe_sent_us = cs_now_us();
	gw->counters.probes++;
	return CS_OK;
}

static void
abort_probe(struct gw_target_connections *connections)
{
	struct gw_connection *connection = connections->probe;

	finish_probe(connection, H1_END_RESET);
	connection->probing = false;
	drop_connection(connection);
}

void
gw_target_connections_sweep(
    struct gw_target_connections *connections, int64_t now_us)
{
	struct gw_connection *connection = connections->idle, *next;

	if (connections->probe != NULL &&
	    now_us - connections->target->probe_sent_us > PROBE_TIMEOUT_US) {
		abort_probe(connections);
		return;
	}

	for (; connection != NULL; connection = next) {
		next = connection->next_idle;
		if (now_us - connection->last_used_us >=
		    connection->idle_limit_us)
			drop_connection(connection);
	}
}

void
gw_target_connections_close(struct gw_target_connections *connections)
{
	struct gw_connection *connection, *next;

	connections->open_count++; /* prevents connections from being freed */
	if (connections->probe != NULL)
		abort_probe(connections);
	if (connections->check != NULL)
		abort_check(connections);
	connection = connections->idle;
	for (; connection != NULL; connection = next) {
		next = connection->next_idle;
		drop_connection(connection);
	}
	connections->open_count--;
	free_connections_if_unused(connections);
}

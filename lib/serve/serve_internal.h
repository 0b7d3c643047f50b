/* State shared by the modules of lib/serve. */
#ifndef SV_SERVE_INTERNAL_H
#define SV_SERVE_INTERNAL_H

#include <glib.h>
#include <jansson.h>

#include "../base/base.h"
#include "../h1/h1.h"
#include "../report/report.h"
#include "serve.h"

#define SV_ID_BYTES_MAX 96
#define SV_CONTENT_TYPE_JSON "application/json"
#define SV_TOKEN_BYTES_MAX 128
#define SV_KEY_BYTES_MAX 256

/*
 * Idle connections to one target. Reference counted: the target and each
 * connection that returns to the pool hold a reference.
 */
struct sv_connection_pool {
	struct cs_ref ref;
	struct sv_connection *idle; /* most recently used first */
	uint32_t idle_count;
	bool retired; /* its target no longer uses it; takes no connections */
};

/*
 * One target, or another entry VM to which calls are forwarded. Reference
 * counted.
 */
struct sv_target {
	struct cs_ref ref;
	struct sv_server *server;
	uint64_t id;
	char address[CF_ADDRESS_BYTES_MAX];
	struct sockaddr_in sockaddr;
	struct sv_connection_pool *pool; /* NULL: connections are not reused */
};

struct sv_attempt;

/* One connection to a target or to another entry VM. */
struct sv_connection {
	struct sv_server *server;
	struct h1_client_conn *conn;
	struct sv_connection_pool *pool; /* to return to, or NULL */
	struct sv_attempt *attempt;	 /* NULL: idle */
	struct sv_connection *next;
	int64_t idle_since_us;
};

struct sv_call;

/* Recorded calls, and recorded attempts of each, for `explain`. */
#define SV_CALL_RECORDS_MAX 4096
#define SV_ATTEMPT_RECORDS_MAX 4

struct sv_attempt_record {
	uint32_t number;
	char address[CF_ADDRESS_BYTES_MAX];
	bool forwarded;
	int64_t after_us; /* from the call's arrival to the attempt's start */
	int64_t took_us;
	const char *end;
	int status;
};

struct sv_call_record {
	uint64_t call; /* 0: the slot is unused */
	char member[SV_NAME_BYTES_MAX];
	char route[CF_NAME_BYTES_MAX];
	enum dc_key_scope key_scope;
	int64_t took_us;
	const char *end;
	enum dc_reason reason;
	uint32_t attempt_count;
	struct sv_attempt_record attempts[SV_ATTEMPT_RECORDS_MAX];
};

/* A small complete response, kept for retries with the same key. */
struct sv_cached_response {
	uint64_t key_a;
	uint64_t key_b;
	int status;
	struct h1_bytes headers; /* header lines, each ending in CR LF */
	struct h1_bytes body;
};

/* One upstream request of a call. */
struct sv_attempt {
	struct sv_call *call;
	struct sv_target *target;
	struct sv_connection *connection;
	uint32_t number;
	bool forwarded;			   /* to another entry VM */
	bool new_connection;		   /* uses an unpooled connection */
	int status;			   /* of the response; 0: none yet */
	const struct h1_message *response; /* its head; NULL until received */
	struct h1_bytes buffered;	   /* body data until relaying starts */
};

struct sv_call {
	struct cs_ref ref; /* held by the request and by each attempt */
	struct sv_server *server;
	struct h1_conn *conn; /* NULL once answered or its caller has left */
	const struct h1_message *request; /* valid while conn is set */
	struct cf_config *config;
	const struct cf_route *route;
	uint64_t id;
	uint32_t depth;
	struct dc_key key;
	int64_t arrived_us;
	int64_t deadline_us;
	bool known_to_core;
	bool forwarded; /* by another entry VM, which counts the call */
	bool counted;
	enum rp_result outcome; /* of a complete relayed response */
	char member[SV_NAME_BYTES_MAX];
	/* Copy of the relayed response for retries with its key, or NULL. */
	struct sv_cached_response *response_copy;
	struct sv_attempt attempts[DC_ATTEMPTS_MAX];
	struct sv_attempt *relayed;
	bool relay_paused; /* the target waits until the caller reads */
	uint64_t relayed_bytes, relay_mark_bytes;
	int64_t relay_mark_us; /* last progress of the caller, see slow.c */
	char request_id[SV_ID_BYTES_MAX];
};

struct sv_server {
	struct sv_params params;
	void (*execute_action)(struct sv_server *, const struct dc_action *);
	struct h1_server *caller_listener;
	struct h1_server *admin_listener;
	struct dc_core *core;
	struct dc_actions actions;
	bool stepping;
	GArray *pending_events; /* of struct dc_event, posted during a step */
	uv_timer_t core_timer;
	uv_timer_t sweep_timer;
	struct cf_config *config;
	GHashTable *targets; /* configured ones, id to struct sv_target */
	GHashTable *calls;   /* known to the core, id to struct sv_call */
	GHashTable *response_cache; /* key_a to struct sv_cached_response */
	GQueue response_cache_by_age;
	struct h1_bytes scratch; /* for the head of a request or a response */
	struct h1_response error_response;
	char refusal_body[128];
	size_t response_cache_bytes, response_cache_bytes_max;
	size_t unsent_bytes_max;  /* of one response */
	uint32_t connections_max; /* of callers, and as many to targets */
	uint32_t upstream_count;  /* connections to targets and entry VMs */
	uint64_t logged_closed, logged_refused;
	struct sv_node entry_vms[SV_NODES_MAX];
	uint32_t entry_vm_count;
	struct cs_random random;
	uint64_t next_call;
	uint32_t open_calls;
	bool draining;
	struct rp_accounts *accounts;
	struct sv_call_record *call_records;
};

/* core_events.c: posts events to the core. */
void sv_post_event(struct sv_server *server, const struct dc_event *event);

/* core_actions.c: executes one action of the core. */
void sv_execute_action(
    struct sv_server *server, const struct dc_action *action);

/* caller.c: handles callers' requests. */
void sv_on_request(struct h1_conn *conn, const struct h1_message *request);
void sv_on_caller_left(struct h1_conn *conn);
/*
 * sv_refusal_response(server, status): returns the response to a request that
 * the listener itself refuses; valid until the next call.
 */
const struct h1_response *sv_refusal_response(void *user, int status);

/* call.c: creation, refusal and release of calls. */
struct sv_call *sv_call_new(struct sv_server *server, struct h1_conn *conn,
    const struct h1_message *request);
void sv_refuse_call(
    struct sv_call *call, enum dc_reason reason, enum dc_outcome outcome);
/*
 * sv_call_detach(call): separates a call from its connection when it is
 * answered or its caller has left. Drops the connection's reference.
 */
void sv_call_detach(struct sv_call *call);
void sv_call_unref(struct sv_call *call);

/* connections.c: targets and their connections. */
/*
 * sv_target_replace_pool(target): closes the idle connections and starts a new
 * pool, so that the next attempt opens a new connection.
 */
void sv_target_replace_pool(struct sv_target *target);
struct sv_target *sv_target_new(
    struct sv_server *server, const char *address, bool pooled);
void sv_target_unref(struct sv_target *target);
/*
 * sv_connection_acquire(attempt): returns an idle or a new connection, or NULL
 * when no socket could be created.
 */
struct sv_connection *sv_connection_acquire(struct sv_attempt *attempt);
/*
 * sv_connection_release(connection): returns the connection to its pool. False
 * when the pool does not take it: the caller then closes it.
 */
bool sv_connection_release(struct sv_connection *connection);
/*
 * sv_connection_close(connection): frees the connection and closes its socket
 * unless that has ended.
 */
void sv_connection_close(struct sv_connection *connection);
/* request_head.c: writes the head of an upstream request. */
int sv_write_request_head(struct sv_call *call,
    const struct sv_attempt *attempt, struct h1_bytes *to);

/* upstream.c: attempts, each one upstream request of a call. */
extern const struct h1_client_conn_events sv_connection_events;
void sv_attempt_start(struct sv_call *call, const struct dc_send *send);
void sv_forward_start(struct sv_call *call, const struct dc_send *send);
void sv_attempt_cancel(struct sv_call *call, uint32_t number);

/* call_records.c: records of recent calls, and the usage accounts. */
void sv_record_call_started(struct sv_call *call);
void sv_record_attempt_started(const struct sv_attempt *attempt);
void sv_record_attempt_ended(
    const struct sv_call *call, uint32_t number, const char *end, int status);
void sv_record_call_ended(
    struct sv_call *call, enum rp_result result, enum dc_reason reason);
json_t *sv_call_record_json(struct sv_server *server, const char *request_id);
void sv_format_request_id(
    const struct sv_server *server, uint64_t call, char id[SV_ID_BYTES_MAX]);

/* relay.c: relays a target's response to the caller. */
void sv_relay_start(struct sv_call *call, uint32_t number);
void sv_relay_body(struct sv_attempt *attempt, const char *data, size_t length);
/* sv_relay_end(call, complete): false aborts the caller's connection. */
void sv_relay_end(struct sv_call *call, bool complete);
void sv_on_output_sent(struct h1_conn *conn);

/*
 * slow.c: sv_sweep_relays(server, now): closes callers that read so slowly that
 * others wait for the slots of their targets. To be called often.
 */
void sv_sweep_relays(struct sv_server *server, int64_t now_us);

/* response_cache.c: responses kept for retries with the same key. */
void sv_response_cache_begin(
    struct sv_call *call, const struct h1_bytes *headers);
void sv_response_cache_append(
    struct sv_call *call, const char *data, size_t length);
void sv_response_cache_commit(struct sv_call *call);
void sv_response_cache_discard(struct sv_call *call);
/* sv_response_cache_find(server, key): the response kept for a key, or NULL. */
const struct sv_cached_response *sv_response_cache_find(
    const struct sv_server *server, const struct dc_key *key);

/* key.c: the Idempotency-Key header. */
int sv_parse_key(const char *text, struct dc_key *key);
void sv_format_key_token(const struct sv_server *server,
    const struct sv_node *entry, char *text, size_t bytes);

/* directory.c and admin.c: requests that the entry VM answers itself. */
void sv_respond_directory(struct sv_server *server, struct h1_conn *conn,
    const struct h1_message *request);
void sv_on_admin_request(
    struct h1_conn *conn, const struct h1_message *request);

/* protect.c: limits that protect the process from its clients */
void sv_set_limits(struct sv_server *server);
uint32_t sv_admin_connections_max(const struct sv_server *server);
uint64_t sv_bodies_bytes_max(const struct sv_server *server);
/* sv_print_memory(server, page): appends the metrics of the limits. */
void sv_print_memory(const struct sv_server *server, GString *page);

/* core_config.c: passes a configuration to the core. */
void sv_load_config(struct sv_server *server, struct cf_config *config);

#endif

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

/* Idle connections to one target; reference counted. */
struct sv_connection_pool {
	struct cs_ref ref;
	struct sv_connection *idle; /* last used first */
	uint32_t idle_count;
	bool retired; /* its target has another one */
};

/* One target; reference counted. */
struct sv_target {
	struct cs_ref ref;
	struct sv_server *server;
	uint64_t id;
	char address[CF_ADDRESS_BYTES_MAX];
	struct sockaddr_in sockaddr;
	struct sv_connection_pool *pool; /* NULL: connections are not kept */
};

struct sv_attempt;

/* One connection to a target. */
struct sv_connection {
	struct h1_channel *channel;
	struct sv_connection_pool *pool; /* it returns to, or NULL */
	struct sv_attempt *attempt;	 /* NULL: idle */
	struct sv_connection *next;
	int64_t idle_since_us;
};

struct sv_call;

/* What is kept of one attempt and of one call, for `explain`. */
#define SV_CALL_RECORDS_MAX 4096
#define SV_ATTEMPT_RECORDS_MAX 4

struct sv_attempt_record {
	uint32_t number;
	char address[CF_ADDRESS_BYTES_MAX];
	bool forwarded;
	int64_t after_us; /* the call's arrival */
	int64_t took_us;
	const char *end;
	int status;
};

struct sv_call_record {
	uint64_t call; /* 0: the place is free */
	char member[SV_NAME_BYTES_MAX];
	char route[CF_NAME_BYTES_MAX];
	enum dc_key_scope key_scope;
	int64_t took_us;
	const char *end;
	enum dc_reason reason;
	uint32_t attempt_count;
	struct sv_attempt_record attempts[SV_ATTEMPT_RECORDS_MAX];
};

/* A whole small answer, kept for resends of its key. */
struct sv_cached_response {
	uint64_t key_a;
	uint64_t key_b;
	int status;
	struct h1_bytes headers; /* lines */
	struct h1_bytes body;
};

/* One upstream request of a call. */
struct sv_attempt {
	struct sv_call *call;
	struct sv_target *target;
	struct sv_connection *connection;
	uint32_t number;
	bool forwarded;			   /* to another entry VM */
	bool new_connection;		   /* on a connection of its own */
	int status;			   /* of the answer */
	const struct h1_message *response; /* its head, once it is there */
	struct h1_bytes buffered; /* of the body, until it is relayed */
};

struct sv_call {
	struct cs_ref ref; /* of the request and of each attempt */
	struct sv_server *server;
	struct h1_conn *conn; /* NULL once answered, or its caller gone */
	const struct h1_message *request; /* valid with conn */
	struct cf_config *config;
	const struct cf_route *route;
	uint64_t id;
	uint32_t depth;
	struct dc_key key;
	int64_t arrived_us;
	int64_t deadline_us;
	bool known_to_core;
	bool forwarded; /* by another entry VM, which counts it */
	bool counted;
	enum rp_result outcome; /* of a whole relayed answer */
	char member[SV_NAME_BYTES_MAX];
	struct sv_cached_response
	    *response_copy; /* copy of the answer for resends */
	struct sv_attempt attempts[DC_ATTEMPTS_MAX];
	struct sv_attempt *relayed;
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
	GArray *pending_events; /* of struct dc_event, raised during a step */
	uv_timer_t core_timer;
	uv_timer_t sweep_timer;
	struct cf_config *config;
	GHashTable *targets; /* id to struct sv_target, those configured */
	GHashTable *calls;   /* id to struct sv_call, those the core knows */
	GHashTable *response_cache; /* by key_a, of struct sv_cached_response */
	GQueue response_cache_by_age;
	struct h1_bytes scratch; /* scratch for a request or an answer */
	struct h1_answer refusal;
	char refusal_body[128];
	size_t response_cache_bytes;
	struct sv_entry entry_vms[SV_ENTRIES_MAX];
	uint32_t entry_vm_count;
	struct cs_random random;
	uint64_t next_call;
	uint32_t open_calls;
	bool draining;
	struct rp_accounts *accounts;
	struct sv_call_record *call_records;
};

/* feed.c: events for the core. */
void sv_post_event(struct sv_server *server, const struct dc_event *event);

/* shell.c: carries out one action of the core. */
void sv_execute_action(
    struct sv_server *server, const struct dc_action *action);

/* caller.c: callers' requests. */
void sv_on_request(struct h1_conn *conn, const struct h1_message *request);
void sv_on_caller_left(struct h1_conn *conn);
/* sv_refusal_response(server, status): what the listener itself refuses with.
 */
const struct h1_answer *sv_refusal_response(void *user, int status);

/* call.c: the life of a call. */
struct sv_call *sv_call_new(struct sv_server *server, struct h1_conn *conn,
    const struct h1_message *request);
void sv_refuse_call(
    struct sv_call *call, enum dc_reason reason, enum dc_outcome outcome);
/* sv_call_detach(call): its answer is complete, or its caller is gone. */
void sv_call_detach(struct sv_call *call);
void sv_call_unref(struct sv_call *call);

/* connections.c: targets and their connections. */
void sv_target_replace_pool(struct sv_target *target);
struct sv_target *sv_target_new(
    struct sv_server *server, const char *address, bool pooled);
void sv_target_unref(struct sv_target *target);
/* sv_connection_acquire(attempt): idle or new; NULL when no socket could be
 * made. */
struct sv_connection *sv_connection_acquire(struct sv_attempt *attempt);
/* sv_connection_release(line): idle again; false: the caller drops it. */
bool sv_connection_release(struct sv_connection *connection);
/* sv_connection_close(line): forgets it; closes its channel unless that ended.
 */
void sv_connection_close(struct sv_connection *connection);
/* request_head.c */
int sv_write_request_head(struct sv_call *call,
    const struct sv_attempt *attempt, struct h1_bytes *to);

/* upstream.c: attempts. */
extern const struct h1_channel_events sv_channel_events;
void sv_attempt_start(struct sv_call *call, const struct dc_send *send);
void sv_forward_start(struct sv_call *call, const struct dc_send *send);
void sv_attempt_cancel(struct sv_call *call, uint32_t number);

/* story.c: recent calls and the accounts. */
void sv_record_call_started(struct sv_call *call);
void sv_record_attempt_started(const struct sv_attempt *attempt);
void sv_record_attempt_ended(
    const struct sv_call *call, uint32_t number, const char *end, int status);
void sv_record_call_ended(
    struct sv_call *call, enum rp_result result, enum dc_reason reason);
json_t *sv_call_record_json(struct sv_server *server, const char *request_id);
void sv_format_request_id(
    const struct sv_server *server, uint64_t call, char id[SV_ID_BYTES_MAX]);

/* relay.c: a target's answer on its way to the caller. */
void sv_relay_start(struct sv_call *call, uint32_t number);
void sv_relay_body(struct sv_attempt *attempt, const char *data, size_t length);
/* sv_relay_end(call, whole): false breaks the answer off. */
void sv_relay_end(struct sv_call *call, bool complete);
void sv_on_output_sent(struct h1_conn *conn);

/* answers.c: answers kept for resends. */
void sv_response_cache_begin(
    struct sv_call *call, const struct h1_bytes *headers);
void sv_response_cache_append(
    struct sv_call *call, const char *data, size_t length);
void sv_response_cache_commit(struct sv_call *call);
void sv_response_cache_discard(struct sv_call *call);
/* sv_response_cache_find(server, key): what a resend of the key gets, or NULL.
 */
const struct sv_cached_response *sv_response_cache_find(
    const struct sv_server *server, const struct dc_key *key);

/* key.c: the Idempotency-Key header. */
int sv_parse_key(const char *text, struct dc_key *key);
void sv_format_key_token(const struct sv_server *server,
    const struct sv_entry *entry, char *text, size_t bytes);

/* directory.c and admin.c: what the VM answers itself. */
void sv_reply_directory(struct sv_server *server, struct h1_conn *conn,
    const struct h1_message *request);
void sv_on_admin_request(
    struct h1_conn *conn, const struct h1_message *request);

/* table.c: hands a configuration to the core. */
void sv_load_config(struct sv_server *server, struct cf_config *config);

#endif

/* State shared by the modules of lib/serve. */
#ifndef SV_SERVE_INTERNAL_H
#define SV_SERVE_INTERNAL_H

#include <glib.h>
#include <h2o.h>
#include <h2o/http1client.h>
#include <jansson.h>

#include "../base/base.h"
#include "../http/http.h"
#include "../report/report.h"
#include "serve.h"

#define SV_ID_BYTES_MAX 96
#define SV_JSON "application/json"
#define SV_TOKEN_BYTES_MAX 128
#define SV_KEY_BYTES_MAX 256

/* Idle connections to one target; reference counted. */
struct sv_pool {
	struct cs_ref ref;
	struct sockaddr_in sockaddr;
	h2o_socketpool_t sockets;
	uv_timer_t timer; /* disposes of it, then frees it */
};

/* One target; reference counted. */
struct sv_target {
	struct cs_ref ref;
	struct sv_server *server;
	uint64_t id;
	char address[CF_ADDRESS_BYTES_MAX];
	struct sockaddr_in sockaddr;
	struct sv_pool *pool; /* NULL: connections are not kept */
};

struct sv_call;

/* What is kept of one attempt and of one call, for `explain`. */
#define SV_STORIES_MAX 4096
#define SV_STORY_ATTEMPTS_MAX 4

struct sv_story_attempt {
	uint32_t number;
	char address[CF_ADDRESS_BYTES_MAX];
	bool forwarded;
	int64_t after_us; /* the call's arrival */
	int64_t took_us;
	const char *end;
	int status;
};

struct sv_story {
	uint64_t call; /* 0: the place is free */
	char member[SV_NAME_BYTES_MAX];
	char route[CF_NAME_BYTES_MAX];
	enum dc_key_scope key_scope;
	int64_t took_us;
	const char *end;
	enum dc_reason reason;
	uint32_t attempt_count;
	struct sv_story_attempt attempts[SV_STORY_ATTEMPTS_MAX];
};

/* A whole small answer, kept for resends of its key. */
struct sv_answer {
	uint64_t key_a;
	uint64_t key_b;
	int status;
	GPtrArray *headers; /* name, value, name, value */
	GByteArray *body;
};

/* One upstream request of a call. */
struct sv_attempt {
	struct sv_call *call;
	struct sv_target *target;
	struct sv_pool *pool;	   /* that its connection belongs to */
	h2o_http1client_t *client; /* NULL when there is none */
	uint32_t number;
	bool forwarded;	  /* to another entry VM */
	bool fresh;	  /* on a connection of its own */
	bool in_connect;  /* inside h2o_http1client_connect*() */
	bool in_callback; /* inside one of the client's callbacks */
	bool cancelled;	  /* to be closed when the callback returns */
	bool relayed;
	int status; /* of the answer; with the two below valid in on_head */
	h2o_header_t *headers;
	size_t header_count;
	size_t content_length;	/* SIZE_MAX when chunked */
	h2o_iovec_t buffers[2]; /* head and body of the request */
	h2o_socket_cb paused;	/* read callback while reading is paused */
};

struct sv_call {
	h2o_generator_t generator; /* first: h2o hands it back */
	struct cs_ref ref;	   /* of the request and of each attempt */
	struct sv_server *server;
	h2o_req_t *req; /* NULL once the caller's request is gone */
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
	struct sv_answer *capture; /* copy of the answer for resends */
	struct sv_attempt attempts[DC_ATTEMPTS_MAX];
	struct sv_attempt *relayed;
	h2o_doublebuffer_t sending;
	h2o_buffer_t *tail; /* of the answer, once its connection is gone */
	bool whole;	    /* the target's answer is complete */
	bool cut;	    /* the target's answer broke off */
	bool sent_last;	    /* h2o has the last of the answer */
	char request_id[SV_ID_BYTES_MAX];
	struct sv_call *next; /* list of calls that wait for a head */
	struct sv_call **link;
};

struct sv_server {
	struct sv_params params;
	struct ht_server *callers;
	struct ht_server *admin;
	struct dc_core *core;
	struct dc_actions actions;
	bool stepping;
	GArray *pending; /* of struct dc_event, raised during a step */
	uv_timer_t wake;
	uv_timer_t watch;
	h2o_timeout_t io_timeout;
	h2o_http1client_ctx_t client;
	struct cf_config *config;
	GHashTable *targets; /* id to struct sv_target, those configured */
	GHashTable *calls;   /* id to struct sv_call, those the core knows */
	struct sv_call *unanswered;
	GHashTable *answers; /* by key_a, of struct sv_answer */
	GQueue answers_by_age;
	size_t answers_bytes;
	struct sv_entry entries[SV_ENTRIES_MAX];
	uint32_t entry_count;
	struct cs_random random;
	uint64_t next_call;
	uint32_t open_calls;
	bool draining;
	struct rp_accounts *accounts;
	struct sv_story *stories;
};

/* shell.c: feeds the core and carries out its actions. */
void sv_feed(struct sv_server *server, const struct dc_event *event);
void sv_arm_wake(struct sv_server *server);

/* caller.c: callers' requests. */
void sv_on_request(h2o_req_t *req, void *user);
void sv_refuse(
    struct sv_call *call, enum dc_reason reason, enum dc_outcome outcome);
void sv_call_answered(struct sv_call *call);
void sv_call_unref(struct sv_call *call);
void sv_watch_callers(struct sv_server *server);

/* connections.c: targets and their idle connections. */
void sv_pool_unref(struct sv_pool *pool);
void sv_target_flush(struct sv_target *target);
struct sv_target *sv_target_new(
    struct sv_server *server, const char *address, bool pooled);
void sv_target_unref(struct sv_target *target);
/* request_head.c */
h2o_iovec_t sv_format_head(
    struct sv_call *call, const struct sv_attempt *attempt);

/* upstream.c: attempts. */
void sv_attempt_start(struct sv_call *call, const struct dc_send *send);
void sv_forward_start(struct sv_call *call, const struct dc_send *send);
void sv_attempt_cancel(struct sv_call *call, uint32_t number);

/* story.c: recent calls and the accounts. */
void sv_story_begin(struct sv_call *call);
void sv_story_sent(const struct sv_attempt *attempt);
void sv_story_attempt_ended(
    const struct sv_call *call, uint32_t number, const char *end, int status);
void sv_story_ended(
    struct sv_call *call, enum rp_result result, enum dc_reason reason);
json_t *sv_story_json(struct sv_server *server, const char *request_id);
void sv_format_request_id(
    const struct sv_server *server, uint64_t call, char id[SV_ID_BYTES_MAX]);

/* relay.c: a target's answer on its way to the caller. */
void sv_relay_start(struct sv_call *call, uint32_t number);
void sv_relay_more(struct sv_call *call);

/* answers.c: answers kept for resends. */
void sv_answer_begin(struct sv_call *call);
void sv_answer_add(struct sv_call *call, h2o_iovec_t chunk);
void sv_answer_keep(struct sv_call *call);
void sv_answer_discard(struct sv_call *call);
void sv_replay(struct sv_call *call);

/* key.c: the Idempotency-Key header. */
int sv_read_key(h2o_iovec_t text, struct dc_key *key);
void sv_format_token(const struct sv_server *server,
    const struct sv_entry *entry, char *text, size_t bytes);

/* directory.c and admin.c: what the VM answers itself. */
void sv_directory(struct sv_server *server, h2o_req_t *req);
void sv_on_admin_request(h2o_req_t *req, void *user);

/* table.c: hands a configuration to the core. */
void sv_load_table(struct sv_server *server, struct cf_config *config);

#endif

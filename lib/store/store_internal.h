#ifndef ST_STORE_INTERNAL_H
#define ST_STORE_INTERNAL_H

#include "../h1/h1.h"
#include "store.h"

#define ST_NO_REPLY 0 /* in place of a status */

struct st_call {
	struct st_client *client;
	struct h1_channel *channel;
	uv_timer_t timer;
	bool busy;
	/* Status ST_NO_REPLY: it may or may not have been carried out. */
	void (*done)(struct st_call *call, int status, const char *body);
};

struct st_follow {
	struct st_call call;
	uv_timer_t pause;
	uint32_t kind;
	bool listing;
	bool watching;
	uint32_t failures;
	uint64_t revision;	/* known up to here, 0: must list */
	uint64_t list_revision; /* of the first page */
	struct st_batch list;	/* pages so far */
};

struct st_client {
	struct st_params params;
	struct st_follow follows[ST_KINDS_MAX];
	struct st_call check;
	uv_timer_t check_timer;
	struct st_call announce;
	uv_timer_t announce_timer;
	char *announced;
	uint32_t announce_failures;
	bool announce_listing;
	void (*on_announced)(void *user, const struct st_batch *batch);
	struct cs_random random;
	bool following;
	bool reading; /* lists once, does not watch */
	bool reached;
	uint64_t calls;
};

void st_call_init(struct st_call *call, struct st_client *client,
    void (*done)(struct st_call *, int, const char *));
/* st_call_send(call, ...): body NULL sends none. done comes later, once. */
void st_call_send(struct st_call *call, const char *method, const char *path,
    const char *body, uint32_t timeout_ms);
void st_call_cancel(struct st_call *call);
void st_call_close(struct st_call *call);

/* st_backoff_ms(client, failures): pause before the next try, spread. */
uint32_t st_backoff_ms(struct st_client *client, uint32_t failures);
void st_reach(struct st_client *client, bool reached, const char *reason);

void st_follow_start(struct st_follow *follow);
void st_follow_stop(struct st_follow *follow);
void st_follow_init(
    struct st_follow *follow, struct st_client *client, uint32_t kind);
void st_follow_close(struct st_follow *follow);

#endif

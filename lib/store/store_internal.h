#ifndef OS_STORE_INTERNAL_H
#define OS_STORE_INTERNAL_H

#include "../h1/h1.h"
#include "store.h"

#define OS_NO_RESPONSE 0 /* instead of an HTTP status */
#define OS_STATUS_HISTORY_EXPIRED 410
/* The response is of an earlier era: it tells only that the store responds. */
#define OS_STATUS_OLD_ERA 1

struct os_call {
	struct os_client *client;
	struct h1_exchange *exchange; /* NULL: none pending */
	/*
	 * With OS_NO_RESPONSE the call may or may not have had an effect. Not
	 * called with a response that begins a new era, if restart() of the
	 * client replaces the call.
	 */
	void (*done)(
	    struct os_call *call, int status, const struct os_text *body);
};

/* Where a list that comes in pages is; zeroed: at its first page. */
struct os_pages {
	char *after; /* as from parse_list(), of the last page; NULL: none */
	char *mark;  /* that of an earlier page, see pages.c */
	uint32_t count;
};

struct os_follow {
	struct os_call call;
	struct os_pages pages;
	uv_timer_t delay_timer;
	uint32_t kind;
	bool listing;
	bool watching;
	uint64_t watch_number; /* of the last watch that was requested */
	uint64_t
	    behind_watch; /* the watch that a check found behind; 0: none */
	uint32_t failures;
	uint64_t revision;	/* latest known; 0: list first */
	uint64_t list_revision; /* of the first page; 0: not read yet */
	int64_t confirmed_us;	/* when all changes were known; 0: never */
	struct os_batch list;	/* of the pages so far */
};

/* The query of os_client_prove(). */
struct os_proof {
	struct os_call call;
	uint32_t kind;
	uint64_t revision; /* up to which all changes are known */
	int64_t sent_us;
};

struct os_client {
	/*
	 * For call.c: lists all kinds again, in a new era. Returns true if the
	 * call is one of those that this replaces.
	 */
	bool (*restart)(struct os_client *client, const struct os_call *call);
	struct os_params params;
	struct h1_client *http;
	struct os_follow follows[OS_KINDS_MAX];
	struct os_call health_check;
	uv_timer_t health_check_timer;
	/* The watch that the pending check covers, or NULL; see
	 * os_follow_check(). */
	struct os_follow *checked;
	uint64_t checked_watch; /* its number */
	uint32_t next_checked;	/* kind */
	struct os_proof proof;
	struct os_call announce;
	uv_timer_t announce_timer;
	char *announced_value;
	uint32_t announce_failures;
	bool announce_listing;
	struct os_pages announce_pages;
	void (*announce_done)(void *user, const struct os_batch *batch);
	struct os_call own_list; /* of os_client_list_own() */
	struct os_pages own_pages;
	void (*own_list_done)(void *user, const struct os_batch *batch);
	struct cs_random random;
	bool following;
	bool list_once; /* lists each kind once, without watching */
	bool reachable;
	bool responded; /* the store has, so far */
	uint64_t era;	/* the latest that the store has named */
	uint64_t calls;
};

/* revision.c */
/* os_batch_set_era(batch, era): the batch was parsed from a response of it. */
void os_batch_set_era(struct os_batch *batch, uint64_t era);
/* os_response_era(codec, response): returns 0 if it names none. */
uint64_t os_response_era(
    const struct os_codec *codec, const struct h1_client_response *response);

/* pages.c */
/* os_pages_reset(pages): the first page comes next. */
void os_pages_reset(struct os_pages *pages);
/*
 * os_pages_read(pages, codec, kind, body, page): parses the next page of the
 * list. Unless pages->after is NULL then, the list continues there. Returns an
 * error of parse_list(), or CS_E_STALE if the list does not come to an end; the
 * pages are reset then, and there is no page.
 */
int os_pages_read(struct os_pages *pages, const struct os_codec *codec,
    const char *kind, const struct os_text *body, struct os_batch *page);

/* own_list.c */
void os_own_list_init(struct os_client *client);

/* prove.c */
void os_proof_init(struct os_client *client);

/* call.c */
/* os_backoff_ms(client, failures): delay before the next retry, with jitter. */
uint32_t os_backoff_ms(struct os_client *client, uint32_t failures);
void os_set_reachable(
    struct os_client *client, bool reachable, const char *reason);
void os_call_init(struct os_call *call, struct os_client *client,
    void (*done)(struct os_call *, int, const struct os_text *));
/*
 * os_call_send(call, ...): body may be NULL. done is called once, later, but
 * not when memory for the request runs out.
 */
void os_call_send(struct os_call *call, const char *method, const char *path,
    const char *body, uint32_t timeout_ms);
void os_call_cancel(struct os_call *call);
bool os_call_pending(const struct os_call *call);

/* follow.c */
void os_follow_start(struct os_follow *follow);
/* os_follow_lose(follow): see os_client_lose(). */
void os_follow_lose(struct os_follow *follow);
void os_follow_stop(struct os_follow *follow);
/* os_follow_is_waiting(follow): a watch is pending. */
bool os_follow_is_waiting(const struct os_follow *follow);
/*
 * os_follow_check(follow, status, body): body tells what has changed after the
 * revision of the pending watch. If there is anything, the response to the
 * watch may be in transit: the changes are reported. If the next check shows
 * the same, the watch is dead, since a connection can fall silent while others
 * work; the kind is listed again.
 */
void os_follow_check(
    struct os_follow *follow, int status, const struct os_text *body);
void os_follow_init(
    struct os_follow *follow, struct os_client *client, uint32_t kind);
void os_follow_close(struct os_follow *follow);

#endif

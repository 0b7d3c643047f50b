/*
 * store: a client of a versioned object store. It lists kinds of objects,
 * watches them from there on, and lists anew after any gap: a watch that was
 * cut, or a history that the store has dropped. How calls are written and
 * replies read is the codec's; this library knows neither names nor formats.
 */
#ifndef OS_STORE_H
#define OS_STORE_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "../base/base.h"

#define OS_KINDS_MAX 4
#define OS_NAME_BYTES_MAX 128
#define OS_PATH_BYTES_MAX 512

/* One object, or the news that it is gone. */
struct os_change {
	char name[OS_NAME_BYTES_MAX];
	uint64_t revision; /* of its last change */
	bool gone;
	char *text; /* the object as the store wrote it, NUL terminated */
	size_t text_length;
};

struct os_batch {
	struct os_change *changes;
	uint32_t count;
	bool more;	   /* the list goes on behind the last name */
	uint64_t revision; /* of the store, at the time of the reply */
};

void os_batch_free(struct os_batch *batch);

struct os_codec {
	/* Each writes a path and returns 0, or CS_E_FULL. */
	int (*list_path)(
	    char out[OS_PATH_BYTES_MAX], const char *kind, const char *after);
	int (*watch_path)(char out[OS_PATH_BYTES_MAX], const char *kind,
	    uint64_t revision, uint32_t wait_ms);
	/* A cheap read that may be answered from an old copy. */
	int (*check_path)(
	    char out[OS_PATH_BYTES_MAX], const char *kind, const char *name);
	int (*kind_path)(char out[OS_PATH_BYTES_MAX], const char *kind);
	/* Both return CS_E_INVALID for what they cannot read. */
	int (*parse_list)(const char *body, struct os_batch *out);
	int (*parse_events)(const char *body, struct os_batch *out);
	/* The object to create; freed by the caller with free(). */
	char *(*write_object)(const char *name, const char *value_json);
};

struct os_events {
	/* The whole kind: what is not in it does not exist. */
	void (*on_snapshot)(
	    void *user, uint32_t kind, const struct os_batch *batch);
	void (*on_changes)(
	    void *user, uint32_t kind, const struct os_batch *batch);
	/* The store answers this VM, or no longer does. */
	void (*on_reach)(void *user, bool reached, const char *reason);
};

struct os_params {
	uv_loop_t *loop;
	struct sockaddr_in address;
	const struct os_codec *codec;
	const struct os_events *events;
	void *user;
	uint32_t kind_count;
	const char *kinds[OS_KINDS_MAX]; /* followed */
	const char *own_kind;		 /* of objects that this VM creates */
	const char *own_name;
	uint64_t seed; /* spreads the fleet's retries */
};

struct os_client;

int os_client_create(const struct os_params *params, struct os_client **out);
/* os_client_read(client): lists every kind once, without following. */
void os_client_read(struct os_client *client);
/* os_client_follow(client, on): starts or stops to list and watch. */
void os_client_follow(struct os_client *client, bool on);
/*
 * os_client_list_anew(client, kind): takes a snapshot, whatever is known. For
 * use after news that was not taken at its word.
 */
void os_client_list_anew(struct os_client *client, uint32_t kind);
/* os_client_current(client): follows every kind and is reached. */
bool os_client_current(const struct os_client *client);
/* os_client_revision(client, kind): known up to here, 0: nothing yet. */
uint64_t os_client_revision(const struct os_client *client, uint32_t kind);
/*
 * os_client_announce(client, value, done): creates the VM's own object unless
 * it exists, then lists its kind; done gets each page, or NULL on a failure
 * (which is followed by another try).
 */
void os_client_announce(struct os_client *client, const char *value_json,
    void (*done)(void *user, const struct os_batch *batch));
uint64_t os_client_calls(const struct os_client *client);
void os_client_close(struct os_client *client);

#endif

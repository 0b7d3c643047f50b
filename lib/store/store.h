/*
 * store: a client of a versioned object store. It lists kinds of objects,
 * watches them from the revision of the list on, and lists again after any gap:
 * an interrupted watch, or a history that the store has dropped. The codec
 * formats calls and parses responses; this library knows neither names nor
 * formats.
 */
#ifndef OS_STORE_H
#define OS_STORE_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "../base/base.h"
#include "../base/memory.h"

#define OS_KINDS_MAX 4
#define OS_NAME_BYTES_MAX 128
/*
 * Holds a kind and a name of which each byte is encoded in three; where a list
 * continues, the name may be longer than any that is kept.
 */
#define OS_PATH_BYTES_MAX 4096

/*
 * A revision orders all states of the store. A store that comes back from an
 * older copy begins a new era, in which it gives the same numbers out again:
 * the upper bits hold the era, the lower ones the number within it. Era 0: the
 * store names none. Revision 0: none.
 */
#define OS_REVISION_NUMBER_BITS 44
uint64_t os_revision(uint64_t era, uint64_t number);
uint64_t os_revision_era(uint64_t revision);
uint64_t os_revision_number(uint64_t revision);

/* A changed object, or its deletion. */
struct os_change {
	char name[OS_NAME_BYTES_MAX];
	uint64_t revision; /* of its last change; a codec sets the number */
	bool deleted;
	char *text; /* the object in the store's format, NUL terminated */
	size_t text_length;
};

struct os_batch {
	struct os_change *changes;
	uint32_t count;
	uint32_t skipped; /* changes under names that cannot be kept */
	bool more;	  /* the list continues */
	uint64_t
	    revision; /* of the store at the time of the response, as above */
};

void os_batch_free(struct os_batch *batch);

/* The body of a response; it may hold zero bytes. */
struct os_text {
	const char *data;
	size_t length;
};

struct os_codec {
	const char *era_header; /* of responses; holds a whole number */
	/* Revisions in paths and bodies are numbers within the era. */
	/* Functions *_path() write a path and return CS_OK or CS_E_FULL. */
	/* after: NULL, or as from parse_list(). */
	int (*list_path)(
	    char out[OS_PATH_BYTES_MAX], const char *kind, const char *after);
	int (*watch_path)(char out[OS_PATH_BYTES_MAX], const char *kind,
	    uint64_t revision, uint32_t wait_ms);
	/* For the health check: a cheap read that may return stale data. */
	int (*check_path)(
	    char out[OS_PATH_BYTES_MAX], const char *kind, const char *name);
	/* The same for the changes after a revision, without waiting. */
	int (*changes_path)(
	    char out[OS_PATH_BYTES_MAX], const char *kind, uint64_t revision);
	int (*kind_path)(char out[OS_PATH_BYTES_MAX], const char *kind);
	/*
	 * Both return CS_E_INVALID for a malformed body. An object that cannot
	 * be parsed has a text that is no object, one without a usable name is
	 * left out. *after: where the list continues, to be freed with free();
	 * NULL if out->more is false, or after an error. A list that continues
	 * after no usable name is malformed. Removals have a revision after the
	 * last change of what was removed, and before any later change.
	 */
	int (*parse_list)(
	    const struct os_text *body, struct os_batch *out, char **after);
	int (*parse_events)(const struct os_text *body, struct os_batch *out);
	int (*object_path)(
	    char out[OS_PATH_BYTES_MAX], const char *kind, const char *name);
	/* Parses one object; the caller frees its text. */
	int (*parse_object)(const struct os_text *body, struct os_change *out);
	/* Returns the value of an object, to be freed with free(). */
	char *(*read_value)(const char *object_text);
	/*
	 * Returns the object to write, to be freed with free(). Revision 0: the
	 * write does not depend on the object's revision.
	 */
	char *(*write_object)(
	    const char *name, const char *value_json, uint64_t revision);
};

struct os_events {
	/* All objects of the kind; others do not exist. */
	void (*on_snapshot)(
	    void *user, uint32_t kind, const struct os_batch *batch);
	void (*on_changes)(
	    void *user, uint32_t kind, const struct os_batch *batch);
	/*
	 * The store has come back from an older copy: what was written since is
	 * lost. The kinds are listed again.
	 */
	void (*on_restored)(void *user, uint64_t era);
	/*
	 * The store, in this era, had no further changes of the kind when the
	 * query was sent, see os_client_prove(). All have been reported.
	 */
	void (*on_proven)(
	    void *user, uint32_t kind, uint64_t era, int64_t sent_us);
	/* The store has become reachable or unreachable from this VM. */
	void (*on_reachability)(void *user, bool reachable, const char *reason);
};

struct os_cache;

struct os_params {
	uv_loop_t *loop;
	struct sockaddr_in address;
	const struct os_codec *codec;
	const struct os_events *events;
	void *user;
	uint32_t kind_count;
	const char *kinds[OS_KINDS_MAX]; /* to follow */
	/* What is known from all sources, also from other VMs; may be NULL. */
	const struct os_cache *cache;
	const char *own_kind; /* of the object that this VM creates */
	const char *own_name;
	uint64_t seed; /* spreads retries of the VMs over time */
};

struct os_client;

int os_client_create(const struct os_params *params, struct os_client **out);
/* os_client_list_once(client): lists each kind once, without watching it. */
void os_client_list_once(struct os_client *client);
/*
 * os_client_follow(client, on): starts or stops listing and watching. It lists
 * a kind first if others have told of changes since its own list.
 */
void os_client_follow(struct os_client *client, bool on);
/*
 * os_client_relist(client, kind): lists the kind again, whatever revision is
 * known. For use after changes that were not applied as reported.
 */
void os_client_relist(struct os_client *client, uint32_t kind);
/*
 * os_client_lose(client, kind): what was reported last could not be kept, also
 * from within the report. The kind does not count as watched, and is listed
 * again a little later.
 */
void os_client_lose(struct os_client *client, uint32_t kind);
/*
 * os_client_is_current(client): watches every kind, and the store is reachable.
 */
bool os_client_is_current(const struct os_client *client);
/* os_client_revision(client, kind): the latest known revision; 0: none. */
uint64_t os_client_revision(const struct os_client *client, uint32_t kind);
/*
 * os_client_announce(client, value, done): creates the VM's own object unless
 * it exists, then lists its kind. done is called with each page, or with NULL
 * after a failure, which is retried.
 */
void os_client_announce(struct os_client *client, const char *value_json,
    void (*done)(void *user, const struct os_batch *batch));
/*
 * os_client_list_own(client, done): lists the kind of the VM's own object. done
 * is called with each page, or with NULL after a failure; a list that is not
 * whole ends so. Returns CS_E_CONFLICT if such a list is pending.
 */
int os_client_list_own(struct os_client *client,
    void (*done)(void *user, const struct os_batch *batch));
/* os_client_era(client): the latest that the store has named; 0: none. */
uint64_t os_client_era(const struct os_client *client);
/*
 * os_client_confirmed_us(client): when the store last confirmed that this VM
 * has all changes of every kind; 0: never.
 */
int64_t os_client_confirmed_us(const struct os_client *client);
/*
 * os_client_prove(client, kind, sent_us): asks the store for changes that were
 * not reported. They are reported, or on_proven() is called; neither follows if
 * the store does not respond. sent_us is the current time by any clock. Returns
 * CS_E_STALE if the kind is not watched, CS_E_CONFLICT if a query is pending.
 */
int os_client_prove(struct os_client *client, uint32_t kind, int64_t sent_us);
uint64_t os_client_calls(const struct os_client *client);
void os_client_close(struct os_client *client);

/* Reads and writes single objects, many concurrently. */
struct os_objects;

/*
 * Result of a call on one object.
 *	CS_OK             revision and value are set
 *	CS_E_MISSING      there is no such object
 *	CS_E_CONFLICT     it is not at the expected revision, or exists
 *	CS_E_STALE        os_wait_for_change() timed out without a change
 *	CS_E_INVALID      kind or name is too long: not sent, reported at once
 *	CS_E_UNAVAILABLE  the call certainly had no effect
 *	CS_E_UNKNOWN      the call was sent; no usable response arrived
 */
struct os_object {
	int error;
	uint64_t revision; /* of its last change */
	const char *value; /* JSON, valid during the callback */
};

typedef void (*os_object_cb)(const struct os_object *object, void *user);

#define OS_MUST_NOT_EXIST 0
#define OS_ANY_REVISION UINT64_MAX
/*
 * Timeout of os_wait_for_change(). Only it shows that the connection of a watch
 * has fallen silent, so it bounds how late a change is learned.
 */
#define OS_WAIT_FOR_CHANGE_MS 2000

/* os_objects_create(loop, address, codec): NULL when memory runs out. */
struct os_objects *os_objects_create(uv_loop_t *loop,
    const struct sockaddr_in *address, const struct os_codec *codec);
/* os_objects_close(objects): cancels all calls, without callbacks. */
void os_objects_close(struct os_objects *objects);
uint64_t os_objects_calls(const struct os_objects *objects);
/*
 * os_objects_on_era(objects, cb, user): cb is called when a response names
 * another era than the response before it, before the response is reported.
 * The era is as in revisions.
 */
typedef void (*os_era_cb)(uint64_t era, void *user);
void os_objects_on_era(struct os_objects *objects, os_era_cb cb, void *user);

void os_read(struct os_objects *objects, const char *kind, const char *name,
    os_object_cb cb, void *user);
/*
 * os_wait_for_change(objects, kind, name, after, ...): waits until the object
 * has a revision other than after; after 0 reads it at once.
 */
void os_wait_for_change(struct os_objects *objects, const char *kind,
    const char *name, uint64_t after, os_object_cb cb, void *user);
/*
 * os_write(...): expected is a revision, OS_MUST_NOT_EXIST or OS_ANY_REVISION.
 */
void os_write(struct os_objects *objects, const char *kind, const char *name,
    uint64_t expected, const char *value_json, os_object_cb cb, void *user);
void os_remove(struct os_objects *objects, const char *kind, const char *name,
    os_object_cb cb, void *user);

/* One object of a list. */
struct os_listed_object {
	char name[OS_NAME_BYTES_MAX];
	char *value; /* JSON */
};

typedef void (*os_list_cb)(
    int error, const struct os_listed_object *list, uint32_t count, void *user);

/*
 * os_list(objects, kind, ...): reads all objects of a kind, page by page, and
 * calls cb once with all of them.
 */
void os_list(
    struct os_objects *objects, const char *kind, os_list_cb cb, void *user);

#endif

/*
 * platform: client of the platform's object API and VM list. Every call is
 * counted; a waiting watch counts as one. docs/PLATFORM.md describes the
 * protocol.
 */
#ifndef PF_PLATFORM_H
#define PF_PLATFORM_H

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#define PF_NAME_BYTES_MAX 128
#define PF_VALUE_BYTES_MAX 1048576
#define PF_WATCH_MS 20000 /* how long a watch waits for news */
#define PF_ANY_VERSION UINT64_MAX

struct pf_client;

/*
 * The result of a call.
 *	CS_OK             value and version are set
 *	CS_E_MISSING      no such object
 *	CS_E_CONFLICT     the object is not at the expected version
 *	CS_E_STALE        a watch saw nothing newer in its time
 *	CS_E_UNAVAILABLE  the call surely had no effect
 *	CS_E_UNKNOWN      the call was sent, its answer did not come
 */
struct pf_result {
	int error;
	uint64_t version;  /* of the object, rises with each write */
	const char *value; /* valid during the callback */
	size_t value_bytes;
};

typedef void (*pf_result_cb)(const struct pf_result *result, void *user);

/*
 * pf_create(loop, url, out): url is "http://IPV4:PORT". CS_E_INVALID for
 * anything else.
 */
int pf_create(uv_loop_t *loop, const char *url, struct pf_client **out);
/* pf_close(client): cancels what is under way, without callbacks. */
void pf_close(struct pf_client *client);
/* pf_calls(client): calls made so far. */
uint64_t pf_calls(const struct pf_client *client);

/* pf_get(client, name, cb, user): reads one object. */
void pf_get(
    struct pf_client *client, const char *name, pf_result_cb cb, void *user);
/*
 * pf_watch(client, name, after, cb, user): waits up to PF_WATCH_MS for a
 * version of the object other than after.
 */
void pf_watch(struct pf_client *client, const char *name, uint64_t after,
    pf_result_cb cb, void *user);
/*
 * pf_put(client, name, expected, value, bytes, cb, user): writes if the
 * object is at the expected version; 0 means that it must not exist, and
 * PF_ANY_VERSION writes in any case.
 */
void pf_put(struct pf_client *client, const char *name, uint64_t expected,
    const char *value, size_t value_bytes, pf_result_cb cb, void *user);
/* pf_delete(client, name, cb, user): removes the object if it exists. */
void pf_delete(
    struct pf_client *client, const char *name, pf_result_cb cb, void *user);
/*
 * pf_list(client, prefix, cb, user): the objects whose names begin with the
 * prefix, as JSON: {"NAME": VALUE, ...}.
 */
void pf_list(
    struct pf_client *client, const char *prefix, pf_result_cb cb, void *user);
/*
 * pf_vms(client, cb, user): the VM list, which lags, as JSON:
 * [{"address": "IPV4:PORT", "state": "live" or "leaving"}, ...].
 */
void pf_vms(struct pf_client *client, pf_result_cb cb, void *user);

#endif

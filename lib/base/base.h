/*
 * base: error codes, clock, seeded random numbers, histograms and numbered
 * log events, shared by every other library.
 */
#ifndef CS_BASE_H
#define CS_BASE_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Error codes. Functions that can fail return 0 or one of these. */
enum cs_error {
	CS_OK = 0,
	CS_E_INVALID = -1,  /* an argument or a document is not valid */
	CS_E_FULL = -2,	    /* a fixed limit (a name ending in _MAX) is hit */
	CS_E_MISSING = -3,  /* the named item does not exist */
	CS_E_CONFLICT = -4, /* a conditional update lost the race */
	CS_E_UNAVAILABLE = -5, /* the other side could not be reached */
	CS_E_UNKNOWN = -6, /* the request was sent, its outcome is unknown */
	CS_E_SYSTEM = -7,  /* the operating system refused */
	CS_E_STALE = -8,   /* older than what is already in force */
};

/*
 * cs_error_text(code): a short lower-case description of an error code.
 * Returns a static string, never NULL.
 */
const char *cs_error_text(int code);

/*
 * cs_copy_text(out, size, text): copies what fits, always NUL terminated.
 * Returns CS_E_FULL when text was cut short.
 */
int cs_copy_text(char *out, size_t size, const char *text);

#define CS_ADDRESS_BYTES_MAX 24 /* of "IPV4:PORT" */

/*
 * cs_parse_address(text, out): parses "IPV4:PORT". Port 0 is allowed.
 * Returns CS_E_INVALID when the text is anything else.
 */
int cs_parse_address(const char *text, struct sockaddr_in *out);
/* cs_format_address(address, text): writes "IPV4:PORT". */
void cs_format_address(
    const struct sockaddr_in *address, char text[CS_ADDRESS_BYTES_MAX]);

/* cs_now_us(): monotonic time in microseconds. */
int64_t cs_now_us(void);

/*
 * Seeded random numbers (splitmix64). The same seed gives the same sequence
 * on every machine.
 */
struct cs_random {
	uint64_t state;
};

void cs_random_seed(struct cs_random *r, uint64_t seed);
uint64_t cs_random_next(struct cs_random *r);
/* cs_random_below(r, bound): uniform in [0, bound); bound must be positive. */
uint32_t cs_random_below(struct cs_random *r, uint32_t bound);
/* cs_random_unit(r): uniform in [0, 1). */
double cs_random_unit(struct cs_random *r);

/* cs_hash(data, length): 64-bit hash of a byte string, stable across VMs. */
uint64_t cs_hash(const void *data, size_t length_bytes);
/* cs_hash_seeded(data, length, seed): one independent of cs_hash(). */
uint64_t cs_hash_seeded(const void *data, size_t length_bytes, uint64_t seed);
/* cs_hash_pair(a, b): 64-bit hash of two numbers, for rendezvous hashing. */
uint64_t cs_hash_pair(uint64_t a, uint64_t b);

/*
 * Histogram of durations in microseconds: log-linear buckets with at most
 * 1/16 relative error. Plain data; zero bytes are an empty histogram.
 */
#define CS_HISTOGRAM_BUCKETS_MAX 512
struct cs_histogram {
	uint64_t count;
	uint64_t sum_us;
	uint32_t buckets[CS_HISTOGRAM_BUCKETS_MAX];
};

void cs_histogram_add(struct cs_histogram *h, int64_t value_us);
/*
 * cs_histogram_quantile(h, q): upper bound in microseconds of the bucket
 * that holds quantile q in [0, 1]; 0 for an empty histogram.
 */
int64_t cs_histogram_quantile(const struct cs_histogram *h, double q);

/*
 * Reference counts. An object embeds struct cs_ref first-class; the last
 * cs_ref_drop() returns true and the owner then frees the object.
 */
struct cs_ref {
	uint32_t count;
};

static inline void
cs_ref_init(struct cs_ref *ref)
{
	ref->count = 1;
}

static inline void
cs_ref_take(struct cs_ref *ref)
{
	ref->count++;
}

static inline bool
cs_ref_drop(struct cs_ref *ref)
{
	return --ref->count == 0;
}

/*
 * Log events. Each has a number and a name that never change; the catalogue
 * is docs/EVENTS.md. Lines go to standard error as
 *	level event=NUMBER name=NAME key=value ...
 */
enum cs_log_event {
#define CS_LOG_EVENT(symbol, number, level, name) CS_LOG_##symbol = (number),
#include "log_events.def"
#undef CS_LOG_EVENT
};

/*
 * cs_log_open(threshold): starts logging; threshold is one of "debug",
 * "info", "warn", "error". Returns CS_E_INVALID for another word.
 */
int cs_log_open(const char *threshold);
void cs_log_close(void);
/*
 * cs_log_gather(): from now on lines are kept in memory, bounded, and written
 * to standard output by cs_log_flush(), which never waits. Under load lines of
 * level info are dropped first; cs_log_flush() returns how many lines were
 * dropped since it last wrote.
 */
int cs_log_gather(void);
uint64_t cs_log_flush(void);
/*
 * cs_log(event, format, ...): writes one event. The format makes the
 * key=value part; the level comes from the catalogue.
 */
void cs_log(enum cs_log_event event, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif

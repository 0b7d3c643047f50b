/*
 * base: error codes, addresses, clock, seeded random numbers, hashes,
 * histograms, reference counts and numbered log events, shared by every other
 * library.
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
	CS_E_INVALID = -1,     /* an argument or a document is not valid */
	CS_E_FULL = -2,	       /* a limit (a name ending in _MAX) is reached */
	CS_E_MISSING = -3,     /* the named item does not exist */
	CS_E_CONFLICT = -4,    /* another update or request came first */
	CS_E_UNAVAILABLE = -5, /* the remote side cannot be reached */
	CS_E_UNKNOWN = -6, /* the request was sent, its outcome is unknown */
	CS_E_SYSTEM = -7,  /* a system call or an allocation failed */
	CS_E_STALE = -8,   /* older than the data already in use */
};

/*
 * cs_error_text(code): returns a short lower-case description of an error
 * code: a static string, never NULL.
 */
const char *cs_error_text(int code);

/*
 * cs_copy_text(out, size, text): copies as much of text as fits into size
 * bytes; the result is always NUL terminated. Returns CS_E_FULL when text was
 * truncated.
 */
int cs_copy_text(char *out, size_t size, const char *text);

#define CS_ADDRESS_BYTES_MAX 24 /* "IPV4:PORT" with its NUL */

/*
 * cs_parse_address(text, out): parses "IPV4:PORT". Port 0 is allowed.
 * Returns CS_E_INVALID for any other text.
 */
int cs_parse_address(const char *text, struct sockaddr_in *out);
/* cs_format_address(address, text): writes "IPV4:PORT". */
void cs_format_address(
    const struct sockaddr_in *address, char text[CS_ADDRESS_BYTES_MAX]);

/* cs_now_us(): returns the monotonic time in microseconds. */
int64_t cs_now_us(void);
/*
 * cs_boot_us(): the same, but it also advances while the machine is suspended.
 */
int64_t cs_boot_us(void);

/*
 * Seeded pseudo-random numbers (splitmix64). The same seed gives the same
 * sequence on every VM.
 */
struct cs_random {
	uint64_t state;
};

void cs_random_seed(struct cs_random *r, uint64_t seed);
uint64_t cs_random_next(struct cs_random *r);
/* cs_random_below(r, bound): uniform in [0, bound); bound must be above 0. */
uint32_t cs_random_below(struct cs_random *r, uint32_t bound);
/* cs_random_unit(r): uniform in [0, 1). */
double cs_random_unit(struct cs_random *r);

/* cs_hash(data, length): 64-bit hash of bytes; the same on every VM. */
uint64_t cs_hash(const void *data, size_t length_bytes);
/* cs_hash_seeded(data, length, seed): a hash independent of cs_hash(). */
uint64_t cs_hash_seeded(const void *data, size_t length_bytes, uint64_t seed);
/* cs_hash_pair(a, b): 64-bit hash of two numbers, for rendezvous hashing. */
uint64_t cs_hash_pair(uint64_t a, uint64_t b);

/*
 * Histogram of durations in microseconds, with log-linear buckets and a
 * relative error of at most 1/16. It holds no pointers, and a zeroed struct is
 * an empty histogram.
 */
#define CS_HISTOGRAM_BUCKETS_MAX 512
struct cs_histogram {
	uint64_t count;
	uint64_t sum_us;
	uint32_t buckets[CS_HISTOGRAM_BUCKETS_MAX];
};

void cs_histogram_add(struct cs_histogram *h, int64_t value_us);
/*
 * cs_histogram_quantile(h, q): returns the upper bound in microseconds of the
 * bucket that holds quantile q in [0, 1]; 0 for an empty histogram.
 */
int64_t cs_histogram_quantile(const struct cs_histogram *h, double q);

/*
 * Reference counts. An object embeds a struct cs_ref, which begins with one
 * reference. cs_ref_drop() returns true for the last reference; its caller
 * then frees the object.
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
 * Log events. Each has a number and a name that never change; docs/EVENTS.md
 * lists them. Lines go to standard error, or to standard output after
 * cs_log_start_buffering(), as
 *	time level event=NUMBER name=NAME key=value ...
 */
enum cs_log_event {
#define CS_LOG_EVENT(symbol, number, level, name) CS_LOG_##symbol = (number),
#include "log_events.def"
#undef CS_LOG_EVENT
};

/*
 * cs_log_open(threshold): starts logging; threshold is one of "debug",
 * "info", "warn", "error". Returns CS_E_INVALID for any other threshold and
 * CS_E_SYSTEM when the log library cannot be initialised.
 */
int cs_log_open(const char *threshold);
void cs_log_close(void);
/*
 * cs_log_start_buffering(): from now on lines are kept in a buffer of limited
 * size. cs_log_flush() writes them to standard output without blocking. Under
 * load, lines of levels info and debug are dropped first. cs_log_flush()
 * returns the number of lines dropped since its last write, or 0 when it writes
 * nothing.
 */
int cs_log_start_buffering(void);
uint64_t cs_log_flush(void);
/*
 * cs_log(event, format, ...): logs one event. The format gives the key=value
 * part; the level is that of the event in log_events.def.
 */
void cs_log(enum cs_log_event event, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif

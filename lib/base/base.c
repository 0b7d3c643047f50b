/* Error texts, clock, random numbers, hashes and text copies. */
#include "base.h"
#include <string.h>

#include <time.h>
#include <xxhash.h>

const char *
cs_error_text(int code)
{
	switch (code) {
	case CS_OK:
		return "ok";
	case CS_E_INVALID:
		return "not valid";
	case CS_E_FULL:
		return "limit reached";
	case CS_E_MISSING:
		return "not found";
	case CS_E_CONFLICT:
		return "conflict";
	case CS_E_UNAVAILABLE:
		return "unavailable";
	case CS_E_UNKNOWN:
		return "outcome unknown";
	case CS_E_SYSTEM:
		return "operating system error";
	case CS_E_STALE:
		return "stale";
	default:
		return "unknown error";
	}
}

int64_t
cs_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

int64_t
cs_boot_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

void
cs_random_seed(struct cs_random *r, uint64_t seed)
{
	r->state = seed;
}

static uint64_t
mix64(uint64_t z)
{
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

uint64_t
cs_random_next(struct cs_random *r)
{
	r->state += 0x9e3779b97f4a7c15ULL;
	return mix64(r->state);
}

uint32_t
cs_random_below(struct cs_random *r, uint32_t bound)
{
	uint64_t high = cs_random_next(r) >> 32;

	return (uint32_t)((high * bound) >> 32);
}

double
cs_random_unit(struct cs_random *r)
{
	return (double)(cs_random_next(r) >> 11) / 9007199254740992.0;
}

uint64_t
cs_hash(const void *data, size_t length_bytes)
{
	return XXH64(data, length_bytes, 0);
}

uint64_t
cs_hash_seeded(const void *data, size_t length_bytes, uint64_t seed)
{
	return XXH64(data, length_bytes, seed);
}

uint64_t
cs_hash_pair(uint64_t a, uint64_t b)
{
	return mix64(a ^ mix64(b + 0x9e3779b97f4a7c15ULL));
}

int
cs_copy_text(char *out, size_t size, const char *text)
{
	size_t length = strlen(text);
	size_t copied = length < size ? length : size - 1;

	memcpy(out, text, copied);
	out[copied] = '\0';
	return copied == length ? CS_OK : CS_E_FULL;
}

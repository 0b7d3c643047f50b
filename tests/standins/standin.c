/* Picks the stand-in, and what they share. */
#include "standin.h"

#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

bool
si_query(const h2o_req_t *req, const char *key, char *out, size_t out_bytes)
{
	size_t key_bytes = strlen(key), length;
	const char *at, *end;

	if (req->query_at == SIZE_MAX)
		return false;
	at = req->path.base + req->query_at + 1;
	end = req->path.base + req->path.len;
	while (at < end) {
		const char *stop = memchr(at, '&', (size_t)(end - at));

		if (stop == NULL)
			stop = end;
		length = (size_t)(stop - at);
		if (length > key_bytes && memcmp(at, key, key_bytes) == 0 &&
		    at[key_bytes] == '=') {
			length -= key_bytes + 1;
			if (length >= out_bytes)
				return false;
			memcpy(out, at + key_bytes + 1, length);
			out[length] = '\0';
			return true;
		}
		at = stop + 1;
	}
	return false;
}

int64_t
si_query_number(const h2o_req_t *req, const char *key, int64_t fallback)
{
	char text[32];

	if (!si_query(req, key, text, sizeof(text)))
		return fallback;
	return strtoll(text, NULL, 10);
}

double
si_exponential(double unit, double mean)
{
	return -mean * log(1.0 - unit);
}

bool
si_path_is(const h2o_req_t *req, const char *path)
{
	return h2o_memis(req->path_normalized.base, req->path_normalized.len,
	    path, strlen(path));
}

int
main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	if (argc >= 2 && strcmp(argv[1], "platform") == 0)
		return si_platform(argc - 1, argv + 1);
	if (argc >= 2 && strcmp(argv[1], "targets") == 0)
		return si_targets(argc - 1, argv + 1);
	if (argc >= 2 && strcmp(argv[1], "caller") == 0)
		return si_caller(argc - 1, argv + 1);
	fprintf(stderr, "usage: standin platform|targets|caller ...\n");
	return 2;
}

/* Entry point of the stand-ins, and the helper functions they share. */
#include "standin.h"

#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_MS 60000
#define CONNECTIONS_MAX 4096

bool
si_query(const struct h1_message *request, const char *key, char *out,
    size_t out_bytes)
{
	size_t length;
	const char *value = h1_query_param(request, key, &length);

	if (value == NULL || length >= out_bytes)
		return false;
	memcpy(out, value, length);
	out[length] = '\0';
	return true;
}

int64_t
si_query_number(
    const struct h1_message *request, const char *key, int64_t fallback)
{
	char text[32];

	if (!si_query(request, key, text, sizeof(text)))
		return fallback;
	return strtoll(text, NULL, 10);
}

double
si_exponential(double unit, double mean)
{
	return -mean * log(1.0 - unit);
}

int
si_listen(uv_loop_t *loop, const struct h1_server_events *events, void *user,
    uint64_t body_bytes_max, struct h1_server **out)
{
	struct h1_server_params params = {
	    .loop = loop,
	    .limits = {H1_HEAD_BYTES_MAX, body_bytes_max},
	    .head_timeout_ms = TIMEOUT_MS,
	    .idle_timeout_ms = TIMEOUT_MS,
	    .connections_max = CONNECTIONS_MAX,
	    .bodies_bytes_max = UINT64_MAX,
	    .events = events,
	    .user = user,
	};

	cs_parse_address("127.0.0.1:0", &params.address);
	return h1_server_create(&params, out);
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

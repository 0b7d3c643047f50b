/*
 * Stand-ins for what surrounds the system: the platform, the targets, the
 * callers. One test program, `standin platform|targets|caller`.
 */
#ifndef SI_STANDIN_H
#define SI_STANDIN_H

#include <stdbool.h>
#include <stdint.h>

#include "../../lib/h1/h1.h"

int si_platform(int argc, char **argv);
int si_targets(int argc, char **argv);
int si_caller(int argc, char **argv);

/* si_query(request, key, out, bytes): a value of the query, or false. */
bool si_query(const struct h1_message *request, const char *key, char *out,
    size_t out_bytes);
/* si_query_number(request, key, fallback): the same as a number. */
int64_t si_query_number(
    const struct h1_message *request, const char *key, int64_t fallback);
/* si_exponential(random unit, mean): an exponential sample. */
double si_exponential(double unit, double mean);
/* si_listen(...): at a free port of the loopback address. */
int si_listen(uv_loop_t *loop, const struct h1_server_events *events,
    void *user, uint64_t body_bytes_max, struct h1_server **out);

#endif

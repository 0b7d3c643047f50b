/*
 * Stand-ins for the parts around the system: the platform, the targets and the
 * callers. They are one test program, `standin platform|targets|caller`.
 */
#ifndef SI_STANDIN_H
#define SI_STANDIN_H

#include <stdbool.h>
#include <stdint.h>

#include "../../lib/h1/h1.h"

int si_platform(int argc, char **argv);
int si_targets(int argc, char **argv);
int si_caller(int argc, char **argv);

/*
 * si_query(request, key, out, bytes): copies the value of a query parameter;
 * returns false if it is missing or does not fit.
 */
bool si_query(const struct h1_message *request, const char *key, char *out,
    size_t out_bytes);
/*
 * si_query_number(request, key, fallback): returns a query parameter as a
 * number, or the fallback if it is missing.
 */
int64_t si_query_number(
    const struct h1_message *request, const char *key, int64_t fallback);
/*
 * si_exponential(unit, mean): returns an exponentially distributed sample for a
 * random number of [0, 1).
 */
double si_exponential(double unit, double mean);
/* si_listen(...): starts a server on a free port of the loopback address. */
int si_listen(uv_loop_t *loop, const struct h1_server_events *events,
    void *user, uint64_t body_bytes_max, struct h1_server **out);

#endif

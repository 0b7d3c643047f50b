/*
 * Stand-ins for what surrounds the system: the platform, the targets, the
 * callers. One test program, `standin platform|targets|caller`.
 */
#ifndef SI_STANDIN_H
#define SI_STANDIN_H

#include <h2o.h>
#include <stdbool.h>
#include <stdint.h>

int si_platform(int argc, char **argv);
int si_targets(int argc, char **argv);
int si_caller(int argc, char **argv);

/* si_query(req, key, out, bytes): a value of the query string, or false. */
bool si_query(
    const h2o_req_t *req, const char *key, char *out, size_t out_bytes);
/* si_query_number(req, key, fallback): the same as a number. */
int64_t si_query_number(
    const h2o_req_t *req, const char *key, int64_t fallback);
/* si_exponential(random unit, mean): an exponential sample. */
double si_exponential(double unit, double mean);
/* si_path_is(req, path): compares the path without its query. */
bool si_path_is(const h2o_req_t *req, const char *path);

#endif

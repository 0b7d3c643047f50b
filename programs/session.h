/*
 * session: the operators' commands' way to the platform and to entry VMs. Each
 * call runs the loop until its response is there.
 */
#ifndef SE_SESSION_H
#define SE_SESSION_H

#include <jansson.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "../lib/config/config.h"

#define SE_NODES_MAX 512

struct se_session;

/* A response; value is NUL terminated and owned by the caller. */
struct se_response {
	int error; /* as in struct os_object, or of enum cs_error */
	uint64_t revision;
	char *value;
};

/* An entry VM as registered on the platform. */
struct se_node {
	char name[64];
	char admin[64];
};

/*
 * se_open(platform, out): CS_E_INVALID after a message when the URL is not
 * valid. NULL: a session that asks VMs alone.
 */
int se_open(const char *platform, struct se_session **out);
void se_close(struct se_session *session);

/* se_parse_url(text, out): "http://IPV4:PORT". */
int se_parse_url(const char *text, struct sockaddr_in *out);
/* se_list(session, kind): {"NAME": VALUE, ...}; NULL without a response. */
json_t *se_list(struct se_session *session, const char *kind);
/* se_get(session, address, path, out): reads from an admin listener. */
void se_get(struct se_session *session, const char *address, const char *path,
    struct se_response *out);
/*
 * se_list_nodes(session, nodes, count): the entry VMs that are live, as the
 * first registered one that answers knows them.
 */
int se_list_nodes(struct se_session *session,
    struct se_node nodes[SE_NODES_MAX], uint32_t *count);
/* se_sleep(session, ms): lets time pass. */
void se_sleep(struct se_session *session, uint32_t ms);

/* se_read_file(path, out): a whole file; CS_E_MISSING after a message. */
int se_read_file(const char *path, char **out);
/*
 * se_load_config(session, config, revision): the stored configuration.
 * CS_E_MISSING when there is none; other errors after a message.
 */
int se_load_config(
    struct se_session *session, struct cf_config **config, uint64_t *revision);
/*
 * se_store_config(session, config, version, expected): writes the configuration
 * as that version. When the response is lost it is read back, so that the
 * result is CS_OK or CS_E_CONFLICT, and CS_E_UNKNOWN only when the platform
 * stays away.
 */
int se_store_config(struct se_session *session, const struct cf_config *config,
    uint64_t version, uint64_t expected);

#endif

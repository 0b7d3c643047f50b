/*
 * What connections of listeners hold, and which of them are closed when memory
 * or descriptors run short: the one that has held most for longest without
 * progress. A connection whose request is being processed is never chosen, one
 * that streams its response only while the client has not read what is queued.
 */
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "../base/base.h"
#include "h1_internal.h"

/*
 * So many bytes count as progress of a transfer. A client that takes a second
 * or more for them is slower than half a Mbit/s.
 */
#define MARK_BYTES (64 * 1024)

const char *
h1_closed_text(enum h1_closed reason)
{
	switch (reason) {
	case H1_CLOSED_MEMORY:
		return "memory";
	case H1_CLOSED_STALLED:
		return "stalled";
	case H1_CLOSED_FULL:
		return "full";
	case H1_CLOSED_ADDRESS:
		return "address";
	case H1_CLOSED_REASONS:
		break;
	}
	return "unknown";
}

uint64_t
h1_server_closed(const struct h1_server *server, enum h1_closed reason)
{
	return server->closed[reason];
}

void
h1_conn_evict(struct h1_conn *conn, enum h1_closed reason)
{
	if (conn->closing)
		return;
	conn->server->closed[reason]++;
	/* The kernel drops its part too, and no response looks complete. */
	if (h1_conn_unacked(conn) > 0)
		h1_conn_reset_on_close(conn, true);
	h1_conn_drop(conn);
}

bool
h1_conn_account(struct h1_conn *conn)
{
	const struct h1_message *message = &conn->reader.message;
	uint64_t bytes =
	    sizeof(*conn) + message->head.capacity + conn->pipelined.capacity;

	if (conn->reserved_bytes == 0)
		bytes += message->body.capacity;
	return cs_memory_change(conn->server->params.memory,
	    CS_MEMORY_CONNECTIONS, &conn->accounted_bytes, bytes);
}

uint64_t
h1_conn_unacked(const struct h1_conn *conn)
{
	uv_os_fd_t fd;
	int queued = 0;

	if (uv_fileno((const uv_handle_t *)&conn->tcp, &fd) != 0 ||
	    ioctl(fd, SIOCOUTQ, &queued) != 0)
		queued = 0;
	return h1_conn_unsent(conn) + (uint64_t)queued;
}

void
h1_conn_progress(struct h1_conn *conn, int64_t now_us)
{
	uint64_t unacked, acked;

	unacked = h1_conn_unacked(conn);
	acked =
	    conn->written_bytes > unacked ? conn->written_bytes - unacked : 0;
	if (acked > conn->acked_bytes) {
		conn->acked_bytes = acked;
		conn->progress_us = now_us;
	}
	if (acked >= conn->acked_at_mark_bytes + MARK_BYTES) {
		conn->acked_at_mark_bytes = acked;
		conn->mark_us = now_us;
	}
}

void
h1_conn_received(struct h1_conn *conn, size_t length, int64_t now_us)
{
	conn->received_since_mark_bytes += length;
	/* Input that waits behind a response is no progress. */
	if (conn->state != CONN_READING ||
	    conn->received_since_mark_bytes < MARK_BYTES)
		return;
	conn->received_since_mark_bytes = 0;
	conn->mark_us = now_us;
}

static bool
may_evict(const struct h1_conn *conn)
{
	if (conn->busy > 0 || conn->closing)
		return false;
	return conn->state != CONN_RESPONDING ||
	       (conn->streaming && h1_conn_unsent(conn) > 0);
}

struct search {
	int64_t now_us;
	int64_t stalled_us_min;
	bool only_bodies;
	uint64_t held_min;
	struct h1_conn *worst;
	double worst_score;
};

/* Bytes held times the time without progress. */
static void
find_worst(const struct h1_server *server, struct search *search)
{
	struct h1_conn *conn;

	for (conn = server->conns; conn != NULL; conn = conn->next) {
		uint64_t held = search->only_bodies
				    ? conn->reserved_bytes
				    : conn->reserved_bytes +
					  conn->accounted_bytes +
					  conn->output_bytes;
		int64_t stalled_us = search->now_us - conn->mark_us;
		double score = (double)held * (double)(stalled_us + 1);

		if (!may_evict(conn) || stalled_us < search->stalled_us_min ||
		    held <= search->held_min || score <= search->worst_score)
			continue;
		search->worst = conn;
		search->worst_score = score;
	}
}

/* Connections that hold less are not closed to free memory. */
#define HELD_SMALL_MIN (4 * 1024)
#define HELD_LARGE_MIN (16 * 1024)

static void
reclaim(struct cs_memory *memory, uint64_t bytes, int64_t stalled_us_min)
{
	uint64_t used_max =
	    memory->used_bytes > bytes ? memory->used_bytes - bytes : 0;

	while (memory->used_bytes > used_max) {
		struct search search = {.now_us = cs_now_us(),
		    .stalled_us_min = stalled_us_min,
		    .held_min =
			stalled_us_min > 0 ? HELD_LARGE_MIN : HELD_SMALL_MIN};
		const struct h1_server *server;

		for (server = memory->holders; server != NULL;
		     server = server->next_holder)
			find_worst(server, &search);
		if (search.worst == NULL)
			return;
		h1_conn_evict(search.worst, H1_CLOSED_MEMORY);
	}
}

void
h1_memory_attach(struct h1_server *server)
{
	struct cs_memory *memory = server->params.memory;

	if (memory == NULL)
		return;
	server->next_holder = memory->holders;
	memory->holders = server;
	memory->reclaim = reclaim;
}

void
h1_evict_bodies(
    struct h1_server *server, uint64_t bytes, int64_t stalled_us_min)
{
	uint64_t bytes_max = server->params.bodies_bytes_max;

	while (bytes <= bytes_max &&
	       server->reserved_body_bytes + bytes > bytes_max) {
		struct search search = {.now_us = cs_now_us(),
		    .stalled_us_min = stalled_us_min,
		    .only_bodies = true};

		find_worst(server, &search);
		if (search.worst == NULL)
			return;
		h1_conn_evict(search.worst, H1_CLOSED_MEMORY);
	}
}

/*
 * Returns the connection that has waited longest, of one client if given. One
 * that streams its response must have made no progress for a while: its client
 * would lose what it has read.
 */
static struct h1_conn *
find_oldest(const struct h1_server *server, const struct in_addr *address)
{
	int64_t stalled_since_us = cs_now_us() - CS_MEMORY_STALLED_US;
	struct h1_conn *conn, *oldest = NULL;

	for (conn = server->conns; conn != NULL; conn = conn->next) {
		if (may_evict(conn) &&
		    (conn->state != CONN_RESPONDING ||
			conn->mark_us < stalled_since_us) &&
		    (address == NULL ||
			conn->address.s_addr == address->s_addr) &&
		    (oldest == NULL || conn->mark_us < oldest->mark_us))
			oldest = conn;
	}
	return oldest;
}

static uint32_t
count_of_address(const struct h1_server *server, struct in_addr address)
{
	const struct h1_conn *conn;
	uint32_t count = 0;

	for (conn = server->conns; conn != NULL; conn = conn->next)
		count += conn->address.s_addr == address.s_addr;
	return count;
}

static bool
close_oldest(struct h1_server *server, const struct in_addr *address,
    enum h1_closed reason)
{
	struct h1_conn *oldest = find_oldest(server, address);

	if (oldest == NULL) {
		server->closed[reason]++; /* the new one, by its owner */
		return false;
	}
	h1_conn_evict(oldest, reason);
	return true;
}

bool
h1_make_room(struct h1_server *server, struct h1_conn *conn)
{
	const struct h1_server_params *params = &server->params;
	struct sockaddr_in peer = {.sin_family = AF_INET};
	int length = sizeof(peer);

	if (uv_tcp_getpeername(&conn->tcp, (struct sockaddr *)&peer, &length) !=
	    0)
		return false;
	conn->address = peer.sin_addr;
	if (params->address_connections_max > 0 &&
	    server->connection_count > params->address_connections_max &&
	    count_of_address(server, conn->address) >
		params->address_connections_max &&
	    !close_oldest(server, &conn->address, H1_CLOSED_ADDRESS))
		return false;
	return server->connection_count <= params->connections_max ||
	       close_oldest(server, NULL, H1_CLOSED_FULL);
}

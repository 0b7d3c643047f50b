/*
 * The listener and its connections, shared by conn.c, input.c, memory.c,
 * response.c and server.c.
 */
#ifndef H1_H1_INTERNAL_H
#define H1_H1_INTERNAL_H

#include "h1.h"

/*
 * The next request of a connection waits until no more than this is unsent. It
 * is what the largest response to an ordinary request takes.
 */
#define FLUSHING_BYTES_MAX (64 * 1024)

enum h1_conn_state {
	CONN_READING,	 /* waits for a request, or receives one */
	CONN_RESPONDING, /* request passed on, response not complete */
	/*
	 * Responses are complete but much of them is unsent: the next request
	 * is not processed until the client has read more.
	 */
	CONN_FLUSHING,
	CONN_LINGERING, /* sent its last response, discards input */
};

struct h1_conn {
	uv_tcp_t tcp; /* first field: handles are cast to connections */
	uv_shutdown_t shutdown_request;
	struct h1_server *server;
	struct h1_conn *next, *previous;
	struct h1_reader reader;
	struct h1_bytes pipelined;
	void *call;
	struct in_addr address; /* of the client */
	enum h1_conn_state state;
	int64_t opened_us;
	int64_t timeout_start_us; /* when the current timeout began */
	uint64_t reserved_bytes;  /* for the body of the request */
	uint64_t accounted_bytes; /* of CS_MEMORY_CONNECTIONS */
	uint64_t output_bytes;	  /* of CS_MEMORY_OUTPUT */
	/*
	 * Progress: bytes that were passed to the socket or queued, and how
	 * many of them the client has acknowledged; then the last time at which
	 * any byte, and at which a substantial number of bytes, was sent or
	 * received.
	 */
	uint64_t written_bytes;
	uint64_t acked_bytes, acked_at_mark_bytes;
	int64_t progress_us, mark_us;
	uint64_t received_since_mark_bytes;
	/* Input that had arrived when the listener began to drain. */
	uint64_t owed_bytes;
	uint32_t busy;	 /* on the stack: must not be closed to free memory */
	bool processing; /* requests of a buffer are being processed */
	bool continue_sent;
	bool paused; /* not read, see input.c */
	bool closing;
	/* State of a streamed response. */
	bool streaming;
	bool chunked;
	bool no_body;
	bool close_delimited; /* ends with the connection */
	bool close_after;     /* closes the connection after it */
};

struct h1_server {
	uv_tcp_t tcp; /* first field: handles are cast to servers */
	struct h1_server_params params;
	struct h1_server *next_holder; /* with the same memory */
	struct h1_bytes out;	       /* scratch buffer for a response */
	struct h1_conn *conns;
	uint32_t connection_count;
	uint32_t active_requests;
	uint64_t reserved_body_bytes;
	uint64_t closed[H1_CLOSED_REASONS];
	bool draining;
	bool closing_idle;
	bool stopped;
};

/* conn.c */
/*
 * h1_conn_close(conn): closes at once. Calls on_disconnect() if a response is
 * not complete yet.
 */
void h1_conn_close(struct h1_conn *conn);
/*
 * h1_conn_drop(conn): the same, but on_disconnect() is called later, from the
 * loop. For closes that the owner of the connection, or of another one, causes
 * while it writes.
 */
void h1_conn_drop(struct h1_conn *conn);
/*
 * h1_conn_linger(conn): ends the output; input is discarded until the client
 * closes or the time to linger is over.
 */
void h1_conn_linger(struct h1_conn *conn);
/*
 * h1_conn_reset_on_close(conn, on): whether a close, also by the end of the
 * process, resets the connection. Without a length or chunks, an orderly close
 * would look like the end of a complete response.
 */
void h1_conn_reset_on_close(struct h1_conn *conn, bool on);
void h1_conn_release_body(struct h1_conn *conn);
/*
 * h1_conn_write(conn, data, length): writes as much as the socket accepts and
 * queues a copy of the rest.
 */
void h1_conn_write(struct h1_conn *conn, const char *data, size_t length);
/*
 * h1_conn_write_body(conn, head, body, taken_bytes): the same with a body that
 * the connection takes over with the taken_bytes of CS_MEMORY_RESPONSES.
 */
void h1_conn_write_body(struct h1_conn *conn, const struct h1_bytes *head,
    struct h1_bytes *body, uint64_t taken_bytes);

/* input.c: requests that a connection receives */
int h1_conn_start_reading(struct h1_conn *conn);
/* h1_conn_start_next(conn): its response is sent; reads the next request. */
void h1_conn_start_next(struct h1_conn *conn);
void h1_conn_resume_reading(struct h1_conn *conn);
/* h1_conn_note_input(conn): requests that have arrived are still answered. */
void h1_conn_note_input(struct h1_conn *conn);
/* h1_conn_reject(conn, status): for a request that cannot be processed. */
void h1_conn_reject(struct h1_conn *conn, int status);

/* memory.c: what connections hold, and which are closed when it is too much */
/*
 * h1_conn_account(conn): accounts for the buffers of the connection. Returns
 * false if they exceed the budget; the connection is to be closed then.
 */
bool h1_conn_account(struct h1_conn *conn);
/* h1_memory_attach(server): lets the server's memory close its connections. */
void h1_memory_attach(struct h1_server *server);
/*
 * h1_evict_bodies(server, bytes, stalled_us_min): closes connections whose
 * request bodies arrive slowly, until so many reserved bytes are free.
 */
void h1_evict_bodies(
    struct h1_server *server, uint64_t bytes, int64_t stalled_us_min);
/*
 * h1_make_room(server, conn): closes a connection if there are too many with
 * this new one. Returns false if the new one is to be closed.
 */
bool h1_make_room(struct h1_server *server, struct h1_conn *conn);
/* h1_conn_unacked(conn): bytes that the client has not acknowledged. */
uint64_t h1_conn_unacked(const struct h1_conn *conn);
/* h1_conn_progress(conn, now_us): notes what the client has acknowledged. */
void h1_conn_progress(struct h1_conn *conn, int64_t now_us);
void h1_conn_received(struct h1_conn *conn, size_t length, int64_t now_us);

#endif

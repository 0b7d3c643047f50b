/*
 * The listener and its connections, shared by conn.c, response.c and server.c.
 */
#ifndef H1_H1_INTERNAL_H
#define H1_H1_INTERNAL_H

#include "h1.h"

enum h1_conn_state {
	CONN_READING,	 /* waits for a request, or receives one */
	CONN_RESPONDING, /* request passed on, response not complete */
	CONN_LINGERING,	 /* sent its last response, discards input */
};

struct h1_conn {
	uv_tcp_t tcp; /* first field: handles are cast to connections */
	uv_shutdown_t shutdown_request;
	struct h1_server *server;
	struct h1_conn *next, *previous;
	struct h1_reader reader;
	struct h1_bytes pipelined;
	struct h1_bytes out;
	void *call;
	enum h1_conn_state state;
	int64_t opened_us;
	int64_t timeout_start_us; /* when the current timeout began */
	size_t unsent_bytes;	  /* at the last check, while lingering */
	uint64_t reserved_bytes;  /* for the body of the request */
	bool continue_sent;
	bool paused; /* not read, see server.c */
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
	/* Called when a response is complete and the connection is kept. */
	void (*start_next_request)(struct h1_conn *conn);
	/* Called before a connection lingers: its input is discarded. */
	void (*resume_reading)(struct h1_conn *conn);
	struct h1_conn *conns;
	uint32_t connection_count;
	uint32_t active_requests;
	uint64_t reserved_body_bytes;
	bool draining;
	bool stopped;
};

/* conn.c */
/*
 * h1_conn_close(conn): closes at once. Calls on_disconnect() if a response is
 * not complete yet.
 */
void h1_conn_close(struct h1_conn *conn);
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

#endif

/* The listener's connections, shared by conn.c, answer.c and server.c. */
#ifndef H1_H1_INTERNAL_H
#define H1_H1_INTERNAL_H

#include "h1.h"

enum h1_conn_state {
	CONN_READING,	 /* waits for a request, or is in one */
	CONN_RESPONDING, /* its request is with the owner */
	CONN_LINGERING,	 /* answered for the last time */
};

struct h1_conn {
	uv_tcp_t tcp; /* first: handles are cast to connections */
	uv_shutdown_t shutdown_request;
	struct h1_server *server;
	struct h1_conn *next, *previous;
	struct h1_reader reader;
	struct h1_bytes pipelined;
	struct h1_bytes out;
	void *call;
	enum h1_conn_state state;
	int64_t opened_us;
	int64_t timeout_start_us; /* when the state, or the request, began */
	uint64_t reserved_bytes;  /* for the body of its request */
	bool continue_sent;
	bool closing;
	/* Of an answer in pieces. */
	bool streaming;
	bool chunked;
	bool no_body;
	bool close_delimited; /* only the end of the connection tells its end */
	bool close_after;     /* the connection ends with it */
};

struct h1_server {
	uv_tcp_t tcp; /* first: handles are cast to servers */
	struct h1_server_params params;
	/* An answer is complete: the connection's next request. */
	void (*start_next_request)(struct h1_conn *conn);
	struct h1_conn *conns;
	uint32_t connection_count;
	uint32_t active_requests;
	uint64_t reserved_body_bytes;
	bool draining;
	bool stopped;
};

/* conn.c */
/* h1_conn_close(conn): at once; its owner hears if it owes an answer. */
void h1_conn_close(struct h1_conn *conn);
/* h1_conn_linger(conn): no more is sent; what still arrives is discarded. */
void h1_conn_linger(struct h1_conn *conn);
void h1_conn_release_body(struct h1_conn *conn);
/* h1_conn_write(conn, data, length): now what goes, a copy of the rest later.
 */
void h1_conn_write(struct h1_conn *conn, const char *data, size_t length);

#endif

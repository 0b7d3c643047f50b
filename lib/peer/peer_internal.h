/* Frames and links between nodes, shared by codec.c, link.c and mesh.c. */
#ifndef PR_PEER_INTERNAL_H
#define PR_PEER_INTERNAL_H

#include <msgpack.h>

#include "../base/base.h"
#include "peer.h"

#define PR_PROTOCOL_VERSION 1
#define PR_FRAME_HEADER_BYTES 4
#define PR_FRAME_BYTES_MAX (2 * 1024 * 1024)

enum pr_frame_type {
	PR_FRAME_HELLO = 1, /* the sender's own record; first on a link */
	PR_FRAME_PING = 2,
	PR_FRAME_PONG = 3,
	PR_FRAME_GOSSIP = 4,	     /* the record of a node */
	PR_FRAME_CONFIG_REQUEST = 5, /* asks for the configuration in force */
	PR_FRAME_CONFIG = 6,	     /* the stored configuration */
	PR_FRAME_CORE_MESSAGE = 7,   /* a message between decision cores */
};

struct pr_ping {
	uint64_t config_version;
	uint64_t digest; /* of the sender's membership */
};

/* In a decoded frame the text points into the frame's bytes. */
struct pr_config {
	const char *text;
	size_t bytes;
};

struct pr_frame {
	enum pr_frame_type type;
	union {
		struct pr_node hello;
		struct pr_ping ping; /* and pong */
		struct pr_node gossip;
		struct pr_config config;
		struct dc_message core_message;
	};
};

/*
 * pr_encode(frame, out): appends the header and payload of a frame to the
 * buffer.
 */
void pr_encode(const struct pr_frame *frame, msgpack_sbuffer *out);
/*
 * pr_decode(bytes, length, unpacked, frame): decodes one payload. The frame may
 * point into unpacked. Returns CS_E_INVALID if the payload is not a valid
 * frame.
 */
int pr_decode(const char *bytes, size_t length, msgpack_unpacked *unpacked,
    struct pr_frame *frame);

/* link.c: what the links of a mesh share. */
#define PR_READ_BYTES 65536

struct pr_link;

struct pr_link_owner {
	void (*on_frame)(struct pr_link *link, const struct pr_frame *frame);
	/* The link failed and is being closed. */
	void (*on_disconnect)(struct pr_link *link);
	/* The link is about to be freed. */
	void (*on_closed)(struct pr_link *link);
	struct pr_mesh_counters *counters;
	struct cs_memory *memory;
	void *user;
	char read_buffer[PR_READ_BYTES];
};

struct pr_link {
	uv_tcp_t tcp; /* must be first: libuv handles are cast to links */
	struct pr_link_owner *owner;
	struct pr_link *next; /* in the owner's list */
	uint64_t id;	      /* of the node at the other end, 0: not known */
	bool connected;
	bool dialed;
	bool hello_received;
	bool closing;
	bool writing;
	int64_t used_us;
	int64_t opened_us;
	uint64_t accounted_bytes; /* of CS_MEMORY_LINKS */
	uv_connect_t connect;
	uv_write_t write;
	msgpack_sbuffer queued;
	msgpack_sbuffer in_flight;
	char *in;
	size_t in_bytes;
	size_t in_capacity;
};

/*
 * pr_link_new(loop, owner): returns a link that is not connected yet, or NULL.
 */
struct pr_link *pr_link_new(uv_loop_t *loop, struct pr_link_owner *owner);
/*
 * pr_link_close(link): closes a link; on_closed() is called later,
 * on_disconnect() is not.
 */
void pr_link_close(struct pr_link *link);
int pr_link_accept(struct pr_link *link, uv_stream_t *listener);
int pr_link_dial(struct pr_link *link, const struct sockaddr_in *address);
/* pr_link_send(link, frame): queues a frame until pr_link_flush() is called. */
void pr_link_send(struct pr_link *link, const struct pr_frame *frame);
void pr_link_flush(struct pr_link *link);

#endif

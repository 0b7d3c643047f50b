/* TCP connections that carry frames, each after its length in 4 bytes. */
#ifndef FL_LINK_H
#define FL_LINK_H

#include "fleet.h"

#define FL_LENGTH_BYTES 4

struct fl_link;

struct fl_link_events {
	void (*on_open)(struct fl_link *link);
	/* The batch of an update is freed after the call. */
	void (*on_frame)(struct fl_link *link, const struct fl_frame *frame);
	/* The connection failed or ended; the link is freed after the call. */
	void (*on_disconnect)(struct fl_link *link);
};

struct fl_link {
	uv_tcp_t tcp; /* must be first: libuv handles are cast to links */
	uv_connect_t connect_request;
	const struct fl_link_events *events;
	void *owner;
	struct fl_link *next;
	char *in;
	size_t in_length, in_capacity;
	size_t queued_bytes;
	/* Holds its input and output; set by the owner. NULL: no limit. */
	struct cs_memory *memory;
	uint64_t in_accounted_bytes;
	int64_t accepted_us; /* 0: connected by this side */
	bool subscribed;     /* its SUBSCRIBE has arrived */
	/* Its fleet address; port 0: an earlier build, which does not tell. */
	struct sockaddr_in follower;
	bool closing;
};

/* A frame that several links send; freed when the last one has. */
struct fl_shared_frame {
	uint32_t refs;
	struct cs_memory *memory;
	uint64_t accounted_bytes;
	size_t length; /* with the 4 bytes of the length */
	char data[];
};

/*
 * fl_share_frame(memory, frame): copies the frame once for all links; returns
 * NULL when memory runs out. fl_unref_frame() gives up a reference.
 */
struct fl_shared_frame *fl_share_frame(
    struct cs_memory *memory, const struct fl_buffer *frame);
void fl_unref_frame(struct fl_shared_frame *shared);

struct fl_link *fl_link_connect(uv_loop_t *loop,
    const struct sockaddr_in *address, const struct fl_link_events *events,
    void *owner);
struct fl_link *fl_link_accept(
    uv_stream_t *listener, const struct fl_link_events *events, void *owner);
/*
 * fl_link_send(link, frame): queues a copy of a frame. A peer that reads too
 * slowly is disconnected, earlier when the memory of the process is exhausted.
 */
void fl_link_send(struct fl_link *link, const struct fl_buffer *frame);
void fl_link_send_shared(struct fl_link *link, struct fl_shared_frame *frame);
/* fl_link_close(link): closes the link without calling on_disconnect(). */
void fl_link_close(struct fl_link *link);

#endif

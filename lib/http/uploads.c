/* Admission of large request bodies; see http_internal.h. */
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "../base/base.h"
#include "http_internal.h"

/* Connections with smaller input buffers are not counted as uploads. */
#define UPLOAD_BYTES_MIN 65536
/* A refused caller has this long to read its answer. */
#define LINGER_US 5000000
/* With more than this received, a refused caller is cut off at once. */
#define LINGER_BYTES_MAX 1048576
#define DISCARD_BYTES 65536
#define DISCARDS_MAX 64 /* reads in one look */

static const char refusal[] = "HTTP/1.1 503 Service Unavailable\r\n"
			      "Connection: close\r\n"
			      "Content-Type: application/json\r\n"
			      "Chervilshelf-Outcome: not-run\r\n"
			      "Retry-After: 1\r\n"
			      "Content-Length: 59\r\n\r\n"
			      "{\"reason\":\"upload_memory\",\"code\":1013,"
			      "\"outcome\":\"not-run\"}\n";

void
ht_uploads_begin(
    struct ht_uploads *uploads, size_t limit_bytes, size_t body_bytes_max)
{
	*uploads = (struct ht_uploads){
	    .limit_bytes = limit_bytes,
	    .body_bytes_max = body_bytes_max,
	};
}

/* The Content-Length of the head at the start of the buffer, 0 without. */
static size_t
declared_bytes(const h2o_buffer_t *input)
{
	static const char name[] = "\r\ncontent-length:";
	const char *end, *at;
	size_t i;

	end = memmem(input->bytes, input->size, "\r\n\r\n", 4);
	if (end == NULL)
		return 0;
	for (i = 0; input->bytes + i < end; i++) {
		at = input->bytes + i;
		if (strncasecmp(at, name, sizeof(name) - 1) == 0)
			return strtoul(at + sizeof(name) - 1, NULL, 10);
	}
	return 0;
}

/* h2o doubles its buffer, so a body takes up to the next power of two. */
static size_t
space_for(size_t bytes)
{
	size_t space = UPLOAD_BYTES_MIN;

	while (space < bytes)
		space *= 2;
	return space;
}

/* A body of unknown length may need as much as the largest. */
static size_t
wanted_bytes(const struct ht_uploads *uploads, const h2o_socket_t *sock)
{
	size_t declared = declared_bytes(sock->input);
	size_t space =
	    space_for(declared != 0 ? declared : uploads->body_bytes_max);

	return space > sock->input->capacity ? space : sock->input->capacity;
}

static bool
is_uploading(const h2o_socket_t *sock)
{
	return h2o_socket_is_reading((h2o_socket_t *)sock) &&
	       sock->input->capacity >= UPLOAD_BYTES_MIN;
}

void
ht_uploads_count(
    struct ht_uploads *uploads, struct ht_upload *upload, h2o_socket_t *sock)
{
	if (upload->state != HT_UPLOAD_ADMITTED)
		return;
	if (sock->input->capacity < UPLOAD_BYTES_MIN) {
		upload->state = HT_UPLOAD_NONE;
		return;
	}
	if (sock->input->capacity > upload->reserved_bytes) {
		if (is_uploading(sock)) {
			/* It outgrew its space, and has to be admitted anew. */
			upload->state = HT_UPLOAD_NONE;
			return;
		}
		upload->reserved_bytes = sock->input->capacity;
	}
	uploads->reserved_bytes += upload->reserved_bytes;
}

/*
 * Lets h2o see the end, and the caller a reset: without it a caller that is
 * still sending would wait for room at a socket that nobody reads.
 */
static void
reset(int fd)
{
	struct linger at_once = {.l_onoff = 1, .l_linger = 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
	shutdown(fd, SHUT_RDWR);
}

/* Answers past h2o, which has not begun an answer while it reads a body. */
static void
refuse(struct ht_upload *upload, h2o_socket_t *sock)
{
	int fd = h2o_socket_get_fd(sock);

	upload->state = HT_UPLOAD_REFUSED;
	(void)send(fd, refusal, sizeof(refusal) - 1, MSG_NOSIGNAL);
	if (sock->input->capacity > LINGER_BYTES_MAX) {
		reset(fd); /* its space is needed now */
		return;
	}
	upload->refused_us = cs_now_us();
	upload->read = sock->_cb.read;
	h2o_socket_read_stop(sock);
	shutdown(fd, SHUT_WR);
}

/* Throws away what still arrives: a reset could overtake the answer. */
static void
discard(struct ht_upload *upload, h2o_socket_t *sock)
{
	static char scratch[DISCARD_BYTES];
	int i, fd = h2o_socket_get_fd(sock);
	ssize_t got = 1;

	if (upload->read == NULL)
		return;
	for (i = 0; i < DISCARDS_MAX && got > 0; i++)
		got = recv(fd, scratch, sizeof(scratch), MSG_DONTWAIT);
	if (got != 0 && cs_now_us() - upload->refused_us < LINGER_US)
		return;
	reset(fd);
	h2o_socket_read_start(sock, upload->read); /* h2o sees the end */
	upload->read = NULL;
}

void
ht_uploads_check(
    struct ht_uploads *uploads, struct ht_upload *upload, h2o_socket_t *sock)
{
	size_t wanted;

	if (upload->state == HT_UPLOAD_REFUSED)
		discard(upload, sock);
	if (upload->state != HT_UPLOAD_NONE || !is_uploading(sock))
		return;
	wanted = wanted_bytes(uploads, sock);
	if (uploads->reserved_bytes + wanted > uploads->limit_bytes) {
		refuse(upload, sock);
		return;
	}
	upload->state = HT_UPLOAD_ADMITTED;
	upload->reserved_bytes = wanted;
	uploads->reserved_bytes += wanted;
}

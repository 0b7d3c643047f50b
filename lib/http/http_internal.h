/*
 * uploads: bounds the memory of requests whose bodies are still arriving. h2o
 * keeps each body in its connection's input buffer until it is whole; the
 * space that each will need is reserved as soon as its length is known, and a
 * connection that does not fit is refused before it has sent much.
 */
#ifndef HT_HTTP_INTERNAL_H
#define HT_HTTP_INTERNAL_H

#include "http.h"

enum ht_upload_state {
	HT_UPLOAD_NONE,	    /* nothing large is arriving */
	HT_UPLOAD_ADMITTED, /* its space is reserved */
	HT_UPLOAD_REFUSED,  /* answered; what still arrives is thrown away */
};

struct ht_upload {
	enum ht_upload_state state;
	size_t reserved_bytes;
	int64_t refused_us;
	h2o_socket_cb read; /* h2o's callback, while refused */
};

/* One look over all connections of a listener. */
struct ht_uploads {
	size_t limit_bytes;
	size_t body_bytes_max;
	size_t reserved_bytes;
};

void ht_uploads_begin(
    struct ht_uploads *uploads, size_t limit_bytes, size_t body_bytes_max);
/* ht_uploads_count(uploads, upload, sock): adds up what is admitted. */
void ht_uploads_count(
    struct ht_uploads *uploads, struct ht_upload *upload, h2o_socket_t *sock);
/* ht_uploads_check(uploads, upload, sock): admits or refuses a new one. */
void ht_uploads_check(
    struct ht_uploads *uploads, struct ht_upload *upload, h2o_socket_t *sock);

#endif

/* The head of an upstream request, made from the caller's. */
#include <stdio.h>
#include <string.h>

#include "serve_internal.h"

#define HEAD_EXTRA_BYTES 512

/* Headers that concern one connection only, or that are written anew. */
static bool
is_dropped(const h2o_req_t *req, const h2o_header_t *header)
{
	static const char *const names[] = {"connection", "keep-alive",
	    "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
	    "expect", "host", "content-length", "chervilshelf-deadline-ms",
	    "chervilshelf-depth", "chervilshelf-request-id",
	    "chervilshelf-forwarded", NULL};
	const char *const *name;
	h2o_iovec_t connection = ht_header(req, "connection");

	for (name = names; *name != NULL; name++) {
		if (h2o_lcstris(header->name->base, header->name->len, *name,
			strlen(*name)))
			return true;
	}
	return connection.base != NULL &&
	       h2o_contains_token(connection.base, connection.len,
		   header->name->base, header->name->len, ',');
}

static size_t
head_bound(const struct sv_call *call)
{
	const h2o_req_t *req = call->req;
	size_t i, bytes = HEAD_EXTRA_BYTES;

	bytes += req->method.len + req->path.len + req->authority.len;
	for (i = 0; i < req->headers.size; i++)
		bytes += req->headers.entries[i].name->len +
			 req->headers.entries[i].value.len + 4;
	return bytes;
}

static char *
append(char *at, h2o_iovec_t bytes)
{
	memcpy(at, bytes.base, bytes.len);
	return at + bytes.len;
}

static char *
append_text(char *at, const char *text)
{
	return append(at, h2o_iovec_init(text, strlen(text)));
}

static char *
append_headers(char *at, const struct sv_call *call)
{
	const h2o_req_t *req = call->req;
	size_t i;

	for (i = 0; i < req->headers.size; i++) {
		const h2o_header_t *header = &req->headers.entries[i];

		if (is_dropped(req, header))
			continue;
		at = append(at, *header->name);
		at = append_text(at, ": ");
		at = append(at, header->value);
		at = append_text(at, "\r\n");
	}
	return at;
}

static char *
append_own_headers(
    char *at, const struct sv_call *call, const struct sv_attempt *attempt)
{
	int64_t left_ms = (call->deadline_us - cs_now_us()) / 1000;

	if (call->req->entity.base != NULL)
		at += sprintf(
		    at, "Content-Length: %zu\r\n", call->req->entity.len);
	return at +
	       sprintf(at,
		   "Chervilshelf-Deadline-Ms: %lld\r\n"
		   "Chervilshelf-Depth: %u\r\n"
		   "Chervilshelf-Request-Id: %s\r\n%s%s\r\n",
		   (long long)(left_ms > 0 ? left_ms : 0),
		   call->depth + (attempt->forwarded ? 0 : 1), call->request_id,
		   attempt->fresh ? "Connection: close\r\n" : "",
		   attempt->forwarded ? "Chervilshelf-Forwarded: 1\r\n" : "");
}

h2o_iovec_t
sv_format_head(struct sv_call *call, const struct sv_attempt *attempt)
{
	h2o_req_t *req = call->req;
	char *start = h2o_mem_alloc_pool(&req->pool, head_bound(call));
	char *at = start;

	at = append(at, req->method);
	at = append_text(at, " ");
	at = append(at, req->path);
	at = append_text(at, " HTTP/1.1\r\nHost: ");
	at = append(at, req->authority);
	at = append_text(at, "\r\n");
	at = append_headers(at, call);
	at = append_own_headers(at, call, attempt);
	return h2o_iovec_init(start, (size_t)(at - start));
}

/* Writes the head of an upstream request from that of the caller's request. */
#include <string.h>
#include <strings.h>

#include "serve_internal.h"

/* Returns whether a header of the caller is replaced by our own value. */
static bool
is_replaced(const char *name)
{
	static const char *const names[] = {"host", "chervilshelf-deadline-ms",
	    "chervilshelf-depth", "chervilshelf-request-id",
	    "chervilshelf-forwarded", NULL};
	const char *const *at;

	for (at = names; *at != NULL; at++) {
		if (strcasecmp(name, *at) == 0)
			return true;
	}
	return false;
}

static int
copy_headers(const struct h1_message *request, struct h1_bytes *to)
{
	int error = CS_OK;
	uint32_t i;

	for (i = 0; i < request->header_count; i++) {
		if (h1_is_hop_by_hop(request, i) ||
		    is_replaced(h1_header_name(request, i)))
			continue;
		error |= h1_bytes_add_header(to, h1_header_name(request, i),
		    h1_header_value(request, i));
	}
	return error;
}

static bool
has_body(const struct h1_message *request)
{
	return request->body.length > 0 ||
	       h1_find_header(request, "content-length") != NULL ||
	       h1_find_header(request, "transfer-encoding") != NULL;
}

int
sv_write_request_head(
    struct sv_call *call, const struct sv_attempt *attempt, struct h1_bytes *to)
{
	const struct h1_message *request = call->request;
	const char *host = h1_find_header(request, "host");
	int64_t left_ms = (call->deadline_us - cs_now_us()) / 1000;
	int error = CS_OK;

	to->length = 0;
	error |= h1_bytes_add_text(to, request->method);
	error |= h1_bytes_add_text(to, " ");
	error |= h1_bytes_add_text(to, h1_target(request));
	error |= h1_bytes_add_text(to, " HTTP/1.1\r\n");
	error |= h1_bytes_add_header(to, "Host", host == NULL ? "" : host);
	error |= copy_headers(request, to);
	if (has_body(request))
		error |= h1_bytes_print(
		    to, "Content-Length: %zu\r\n", request->body.length);
	error |= h1_bytes_print(to,
	    "Chervilshelf-Deadline-Ms: %lld\r\n"
	    "Chervilshelf-Depth: %u\r\n"
	    "Chervilshelf-Request-Id: %s\r\n%s%s\r\n",
	    (long long)(left_ms > 0 ? left_ms : 0),
	    call->depth + (attempt->forwarded ? 0 : 1), call->request_id,
	    attempt->new_connection ? "Connection: close\r\n" : "",
	    attempt->forwarded ? "Chervilshelf-Forwarded: 1\r\n" : "");
	return error;
}

/*
 * Calls on single objects: read, wait for a change, conditional write, remove,
 * and list a kind. Each call is one or more consecutive requests.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "store_internal.h"

#define CALL_TIMEOUT_MS 2000 /* a slow store responds in about 270 ms */
#define RESPONSE_BYTES_MAX (4 * 1024 * 1024) /* lists reach about 1 MB */

struct os_objects {
	struct h1_client *http;
	struct sockaddr_in address;
	const struct os_codec *codec;
	struct op *ops;
	uint64_t calls;
	os_era_cb on_era;
	void *era_user;
	bool era_reported;
	uint64_t era; /* last reported */
};

enum op_type {
	OP_READ,
	OP_WATCH, /* becomes a read when the history has expired */
	OP_CREATE,
	OP_REPLACE, /* any revision; creates a missing object */
	OP_UPDATE,  /* only the expected revision */
	OP_REMOVE,
	OP_LIST,
};

/* A pending call. */
struct op {
	struct os_objects *objects;
	struct op *next;
	enum op_type type;
	int error; /* if set, the call is never sent */
	char kind[OS_NAME_BYTES_MAX];
	char name[OS_NAME_BYTES_MAX];
	struct os_pages pages; /* of a list */
	char *value;
	uint64_t revision;	 /* expected (write) or known (watch) */
	uint64_t watch_revision; /* the watch returns later changes */
	uint64_t era;		 /* of the response; list: of its first page */
	int64_t deadline_us;	 /* end of the watch */
	os_object_cb on_object;
	os_list_cb on_list;
	void *user;
	struct os_listed_object *listed;
	uint32_t listed_count;
};

static void send_op(struct op *op);

static void
drop_listed(struct op *op)
{
	uint32_t i;

	for (i = 0; i < op->listed_count; i++)
		free(op->listed[i].value);
	free(op->listed);
	op->listed = NULL;
	op->listed_count = 0;
	os_pages_reset(&op->pages);
}

static void
free_op(struct op *op)
{
	struct op **at = &op->objects->ops;

	while (*at != op)
		at = &(*at)->next;
	*at = op->next;
	drop_listed(op);
	free(op->value);
	free(op);
}

static void
report_error(const struct op *op, int error)
{
	if (op->type == OP_LIST)
		op->on_list(error, NULL, 0, op->user);
	else
		op->on_object(
		    &(struct os_object){.error = error, .value = ""}, op->user);
}

static void
finish(struct op *op, const struct os_object *result)
{
	op->on_object(result, op->user);
	free_op(op);
}

static void
finish_failed(struct op *op, int error)
{
	report_error(op, error);
	free_op(op);
}

static void
finish_with_object(struct op *op, const struct os_change *object)
{
	char *value = op->objects->codec->read_value(object->text);

	finish(op, &(struct os_object){.error = CS_OK,
		       .revision = object->revision,
		       .value = value == NULL ? "" : value});
	free(value);
}

static int
error_from_response(const struct h1_client_response *response)
{
	if (response->error != CS_OK)
		return response->error;
	switch (response->status) {
	case 404:
		return CS_E_MISSING;
	case 409:
		return CS_E_CONFLICT;
	case 429: /* rate limit, or unavailable: no effect */
	case 503:
		return CS_E_UNAVAILABLE;
	default:
		return response->status / 100 == 2 ? CS_OK : CS_E_UNKNOWN;
	}
}

/* Returns the latest change of the watched object, or NULL. */
static const struct os_change *
find_latest_change(const struct op *op, const struct os_batch *events)
{
	const struct os_change *found = NULL;
	uint32_t i;

	for (i = 0; i < events->count; i++) {
		if (strcmp(events->changes[i].name, op->name) == 0 &&
		    events->changes[i].revision != op->revision)
			found = &events->changes[i];
	}
	return found;
}

static void
handle_events(struct op *op, const struct os_text *body)
{
	struct os_batch events = {.count = 0};
	const struct os_change *latest;

	if (op->era != os_revision_era(op->revision)) {
		op->type = OP_READ; /* it may have changed in the lost span */
		send_op(op);
		return;
	}
	if (op->objects->codec->parse_events(body, &events) != CS_OK) {
		finish_failed(op, CS_E_UNKNOWN);
		return;
	}
	os_batch_set_era(&events, op->era);
	latest = find_latest_change(op, &events);
	op->watch_revision = events.revision;
	if (latest != NULL && latest->deleted)
		finish_failed(op, CS_E_MISSING);
	else if (latest != NULL)
		finish_with_object(op, latest);
	else if (events.count + events.skipped == 0 ||
		 cs_now_us() >= op->deadline_us)
		finish_failed(op, CS_E_STALE);
	else
		send_op(op); /* only other objects changed */
	os_batch_free(&events);
}

static void
handle_object(struct op *op, const struct os_text *body)
{
	struct os_change object;

	if (op->objects->codec->parse_object(body, &object) != CS_OK) {
		finish_failed(op, CS_E_UNKNOWN);
		return;
	}
	object.revision = os_revision(op->era, object.revision);
	/* The expected revision was that of another state: read it back. */
	if (op->type == OP_UPDATE && os_revision_era(op->revision) != op->era)
		finish_failed(op, CS_E_UNKNOWN);
	else
		finish_with_object(op, &object);
	free(object.text);
}

static int
append_page(struct op *op, const struct os_batch *page)
{
	struct os_listed_object *grown = realloc(
	    op->listed, (op->listed_count + page->count + 1) * sizeof(*grown));
	uint32_t i;

	if (grown == NULL)
		return CS_E_SYSTEM;
	op->listed = grown;
	for (i = 0; i < page->count; i++) {
		struct os_listed_object *named = &op->listed[op->listed_count];

		memcpy(named->name, page->changes[i].name, sizeof(named->name));
		named->value =
		    op->objects->codec->read_value(page->changes[i].text);
		op->listed_count += named->value != NULL;
	}
	return CS_OK;
}

static void
handle_page(struct op *op, const struct os_text *body)
{
	struct os_batch page = {.count = 0};

	if (os_pages_read(&op->pages, op->objects->codec, op->kind, body,
		&page) != CS_OK) {
		finish_failed(op, CS_E_UNKNOWN);
		return;
	}
	if (append_page(op, &page) != CS_OK) {
		finish_failed(op, CS_E_SYSTEM);
	} else if (op->pages.after != NULL) {
		send_op(op);
	} else {
		op->on_list(CS_OK, op->listed, op->listed_count, op->user);
		free_op(op);
	}
	os_batch_free(&page);
}

static void
handle_response(struct op *op, const struct os_text *body)
{
	switch (op->type) {
	case OP_READ:
	case OP_CREATE:
	case OP_REPLACE:
	case OP_UPDATE:
		handle_object(op, body);
		break;
	case OP_WATCH:
		handle_events(op, body);
		break;
	case OP_REMOVE:
		finish(op, &(struct os_object){.error = CS_OK, .value = ""});
		break;
	case OP_LIST:
		handle_page(op, body);
		break;
	}
}

/* A failure that names no era says nothing about the store's. */
static void
report_era(struct os_objects *objects, int error, uint64_t response_era)
{
	uint64_t era = os_revision_era(os_revision(response_era, 0));

	if (objects->on_era == NULL || (error != CS_OK && era == 0) ||
	    (objects->era_reported && era == objects->era))
		return;
	objects->era_reported = true;
	objects->era = era;
	objects->on_era(era, objects->era_user);
}

static void
on_response(const struct h1_client_response *response, void *user)
{
	struct op *op = user;
	int error = error_from_response(response);
	uint64_t era = os_response_era(op->objects->codec, response);

	report_era(op->objects, error, era);
	if (op->type == OP_LIST && op->pages.after != NULL && era != op->era) {
		drop_listed(op); /* pages of two eras are no list */
		op->era = era;
		send_op(op);
		return;
	}
	op->era = era;
	if (error == CS_OK) {
		handle_response(op,
		    &(struct os_text){response->body, response->body_length});
	} else if (op->type == OP_WATCH &&
		   response->status == OS_STATUS_HISTORY_EXPIRED) {
		op->type = OP_READ;
		send_op(op);
	} else if (op->type == OP_REPLACE && error == CS_E_MISSING) {
		op->type = OP_CREATE;
		send_op(op);
	} else {
		finish_failed(op, error);
	}
}

static int
format_path(const struct op *op, char path[OS_PATH_BYTES_MAX], uint32_t wait_ms)
{
	const struct os_codec *codec = op->objects->codec;

	switch (op->type) {
	case OP_READ:
	case OP_REPLACE:
	case OP_UPDATE:
	case OP_REMOVE:
		return codec->object_path(path, op->kind, op->name);
	case OP_WATCH:
		return codec->watch_path(path, op->kind,
		    os_revision_number(op->watch_revision), wait_ms);
	case OP_CREATE:
		return codec->kind_path(path, op->kind);
	case OP_LIST:
		return codec->list_path(path, op->kind, op->pages.after);
	}
	return CS_E_INVALID;
}

static const char *
request_method(enum op_type type)
{
	switch (type) {
	case OP_CREATE:
		return "POST";
	case OP_REPLACE:
	case OP_UPDATE:
		return "PUT";
	case OP_REMOVE:
		return "DELETE";
	case OP_READ:
	case OP_WATCH:
	case OP_LIST:
		break;
	}
	return "GET";
}

static int
send_request(struct op *op)
{
	struct os_objects *objects = op->objects;
	int64_t left_ms = (op->deadline_us - cs_now_us()) / 1000;
	uint32_t wait_ms =
	    op->type == OP_WATCH && left_ms > 0 ? (uint32_t)left_ms : 0;
	char path[OS_PATH_BYTES_MAX], *body = NULL;
	bool sent;
	struct h1_request request = {
	    .address = objects->address,
	    .method = request_method(op->type),
	    .path = path,
	    .headers = "Content-Type: application/json\r\n",
	    .response_bytes_max = RESPONSE_BYTES_MAX,
	    .timeout_ms = wait_ms + CALL_TIMEOUT_MS,
	    .reuse = true,
	    .on_response = on_response,
	    .user = op,
	};

	if (format_path(op, path, wait_ms) != CS_OK)
		return CS_E_INVALID;
	if (op->value != NULL) {
		body = objects->codec->write_object(op->name, op->value,
		    op->type == OP_UPDATE ? os_revision_number(op->revision)
					  : 0);
		if (body == NULL)
			return CS_E_UNAVAILABLE;
		request.body = body;
		request.body_length = strlen(body);
	}
	objects->calls++;
	sent = h1_client_send(objects->http, &request) != NULL;
	free(body);
	return sent ? CS_OK : CS_E_UNAVAILABLE;
}

static void
send_op(struct op *op)
{
	int error = op->error == CS_OK ? send_request(op) : op->error;

	if (error != CS_OK)
		finish_failed(op, error);
}

static void
start_op(struct os_objects *objects, const struct op *template)
{
	struct op *op = malloc(sizeof(*op));

	if (op == NULL) {
		report_error(template, CS_E_UNAVAILABLE);
		free(template->value);
		return;
	}
	*op = *template;
	op->objects = objects;
	op->next = objects->ops;
	objects->ops = op;
	send_op(op);
}

static struct op
make_op(enum op_type type, const char *kind, const char *name, os_object_cb cb,
    void *user)
{
	struct op op = {.type = type, .on_object = cb, .user = user};

	/* A truncated name would be that of another object. */
	if (cs_copy_text(op.kind, sizeof(op.kind), kind) != CS_OK ||
	    cs_copy_text(op.name, sizeof(op.name), name) != CS_OK)
		op.error = CS_E_INVALID;
	return op;
}

void
os_read(struct os_objects *objects, const char *kind, const char *name,
    os_object_cb cb, void *user)
{
	struct op op = make_op(OP_READ, kind, name, cb, user);

	start_op(objects, &op);
}

void
os_wait_for_change(struct os_objects *objects, const char *kind,
    const char *name, uint64_t after, os_object_cb cb, void *user)
{
	struct op op =
	    make_op(after == 0 ? OP_READ : OP_WATCH, kind, name, cb, user);

	op.revision = op.watch_revision = after;
	op.deadline_us = cs_now_us() + OS_WAIT_FOR_CHANGE_MS * 1000LL;
	start_op(objects, &op);
}

void
os_write(struct os_objects *objects, const char *kind, const char *name,
    uint64_t expected, const char *value_json, os_object_cb cb, void *user)
{
	enum op_type type = OP_UPDATE;
	struct op op;

	if (expected == OS_MUST_NOT_EXIST)
		type = OP_CREATE;
	else if (expected == OS_ANY_REVISION)
		type = OP_REPLACE;
	op = make_op(type, kind, name, cb, user);
	op.revision = expected;
	op.value = strdup(value_json);
	if (op.value == NULL && op.error == CS_OK)
		op.error = CS_E_UNAVAILABLE;
	start_op(objects, &op);
}

void
os_remove(struct os_objects *objects, const char *kind, const char *name,
    os_object_cb cb, void *user)
{
	struct op op = make_op(OP_REMOVE, kind, name, cb, user);

	start_op(objects, &op);
}

void
os_list(struct os_objects *objects, const char *kind, os_list_cb cb, void *user)
{
	struct op op = make_op(OP_LIST, kind, "", NULL, user);

	op.on_list = cb;
	start_op(objects, &op);
}

struct os_objects *
os_objects_create(uv_loop_t *loop, const struct sockaddr_in *address,
    const struct os_codec *codec)
{
	struct os_objects *objects = calloc(1, sizeof(*objects));

	if (objects == NULL)
		return NULL;
	objects->http = h1_client_create(loop);
	if (objects->http == NULL) {
		free(objects);
		return NULL;
	}
	objects->address = *address;
	objects->codec = codec;
	return objects;
}

void
os_objects_close(struct os_objects *objects)
{
	h1_client_close(objects->http);
	while (objects->ops != NULL)
		free_op(objects->ops);
	free(objects);
}

uint64_t
os_objects_calls(const struct os_objects *objects)
{
	return objects->calls;
}

void
os_objects_on_era(struct os_objects *objects, os_era_cb cb, void *user)
{
	objects->on_era = cb;
	objects->era_user = user;
}

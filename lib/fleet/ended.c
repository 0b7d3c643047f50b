/*
 * Nodes whose process has ended. A node that is silent may be cut off, and in
 * use; one that was killed or replaced must not take the majority from the
 * others for as long. If its address refuses connections, no process listens
 * there: a process that is frozen still has its listener, and from one that is
 * cut off nothing comes back.
 *
 * What was refused once may have been a process that is starting again, and it
 * may start at any time, cut off from this node. So a node counts as ended only
 * after it has refused for ENDED_AFTER_US, and while it does.
 */
#include <stdlib.h>

#include "fleet_internal.h"

/* Far longer than a platform takes to start a process again. */
#define ENDED_AFTER_US 2000000
/* A refusal counts for so long: until the second check after it at most. */
#define REFUSAL_VALID_US 600000

bool
fl_node_refuses(const struct fl_node *node, int64_t for_us, int64_t now_us)
{
	return node->refused_us != 0 &&
	       node->refused_us - node->refused_since_us >= for_us &&
	       now_us - node->refused_us < REFUSAL_VALID_US;
}

bool
fl_node_has_ended(const struct fl_node *node, int64_t now_us)
{
	return fl_node_refuses(node, ENDED_AFTER_US, now_us);
}

void
fl_membership_on_check(struct fl_membership *membership,
    const struct sockaddr_in *fleet, int64_t sent_us,
    enum fl_check_result result)
{
	struct fl_node *node = fl_membership_find(membership, fleet);
	bool had_ended;

	if (node == NULL || sent_us <= node->heard_us)
		return;
	had_ended = fl_node_has_ended(node, sent_us);
	switch (result) {
	case FL_CHECK_REFUSED:
		if (node->refused_us == 0 ||
		    sent_us - node->refused_us >= REFUSAL_VALID_US)
			node->refused_since_us = sent_us;
		node->refused_us = sent_us;
		if (!had_ended && fl_node_has_ended(node, sent_us))
			cs_log(CS_LOG_NODE_ENDED, "member=%s refused_us=%lld",
			    node->name,
			    (long long)(sent_us - node->refused_since_us));
		break;
	case FL_CHECK_ACCEPTED:
		node->refused_since_us = node->refused_us = 0;
		break;
	}
}

struct fl_check {
	uv_tcp_t tcp;
	uv_connect_t connect;
	struct fleet *fleet; /* NULL: it is closed */
	struct sockaddr_in address;
	int64_t sent_us;
	struct fl_check *next;
};

static void
on_check_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void
close_check(struct fl_check *check)
{
	struct fl_check **at = &check->fleet->checks;

	while (*at != check)
		at = &(*at)->next;
	*at = check->next;
	check->fleet = NULL;
	uv_close((uv_handle_t *)&check->tcp, on_check_closed);
}

static void
on_check_done(uv_connect_t *connect, int status)
{
	struct fl_check *check = connect->data;
	struct fl_membership *membership;

	if (check->fleet == NULL)
		return;
	membership = &check->fleet->membership;
	if (status == 0)
		fl_membership_on_check(membership, &check->address,
		    check->sent_us, FL_CHECK_ACCEPTED);
	else if (status == UV_ECONNREFUSED)
		fl_membership_on_check(membership, &check->address,
		    check->sent_us, FL_CHECK_REFUSED);
	close_check(check);
}

static void
send_check(struct fleet *fleet, const struct sockaddr_in *address)
{
	struct fl_check *check = calloc(1, sizeof(*check));

	if (check == NULL)
		return;
	check->address = *address;
	check->sent_us = cs_now_us();
	check->tcp.data = check->connect.data = check;
	if (uv_tcp_init(fleet->params.loop, &check->tcp) != 0) {
		free(check);
		return;
	}
	check->fleet = fleet;
	check->next = fleet->checks;
	fleet->checks = check;
	if (uv_tcp_connect(&check->connect, &check->tcp,
		(const struct sockaddr *)address, on_check_done) != 0)
		close_check(check);
}

/* Closes those that are too old to count, or all. */
static void
close_checks(struct fleet *fleet, int64_t sent_before_us)
{
	struct fl_check *check, *next;

	for (check = fleet->checks; check != NULL; check = next) {
		next = check->next;
		if (check->sent_us < sent_before_us)
			close_check(check);
	}
}

void
fl_check_silent_nodes(struct fleet *fleet)
{
	struct sockaddr_in addresses[FL_CHECKS_MAX];
	int64_t now_us = cs_now_us();
	uint32_t i, count;

	close_checks(fleet, now_us - REFUSAL_VALID_US);
	count =
	    fl_membership_pick_checks(&fleet->membership, now_us, addresses);
	for (i = 0; i < count; i++)
		send_check(fleet, &addresses[i]);
}

void
fl_close_checks(struct fleet *fleet)
{
	close_checks(fleet, INT64_MAX);
}

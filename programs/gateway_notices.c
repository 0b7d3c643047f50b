/*
 * What targets say of themselves: tells the other VMs that one leaves or names
 * a limit, finds the owners of targets, and carries questions for permits and
 * their answers.
 */
#include <string.h>

#include "gateway.h"

static struct fl_limit
to_fleet(uint64_t process, const struct bl_limit_report *report, int64_t now_us)
{
	return (struct fl_limit){
	    .target_process = process,
	    .has_limit = report->has_limit,
	    .per_s = report->per_s,
	    .age_us = now_us - report->heard_us,
	};
}

static struct bl_limit_report
from_fleet(const struct fl_limit *limit, int64_t now_us)
{
	return (struct bl_limit_report){
	    .has_limit = limit->has_limit,
	    .per_s = limit->per_s,
	    .heard_us = now_us - limit->age_us,
	};
}

void
ga_on_limit(void *user, uint64_t process, const struct bl_limit_report *report)
{
	struct ga_app *app = user;
	struct fl_limit limit = to_fleet(process, report, cs_now_us());

	fl_broadcast_limit(app->fleet, &limit);
}

bool
ga_on_fleet_limit(void *user, const struct fl_limit *limit)
{
	struct ga_app *app = user;
	struct bl_limit_report report = from_fleet(limit, cs_now_us());

	return gw_add_limit(app->gw, limit->target_process, &report);
}

void
ga_on_cold(void *user, uint64_t process, int64_t left_us)
{
	struct ga_app *app = user;

	fl_broadcast_cold(app->fleet, &(struct fl_cold){process, left_us});
}

bool
ga_on_fleet_cold(void *user, const struct fl_cold *cold)
{
	struct ga_app *app = user;

	return gw_add_cold(app->gw, cold->target_process, cold->left_us);
}

struct telling {
	struct fleet *fleet;
	const struct fl_node *node;
};

static void
tell_limit(void *arg, uint64_t process, const struct bl_limit_report *report)
{
	const struct telling *telling = arg;
	struct fl_limit limit = to_fleet(process, report, cs_now_us());

	fl_send_limit(telling->fleet, telling->node, &limit);
}

static void
tell_leaving(void *arg, uint64_t process)
{
	const struct telling *telling = arg;

	fl_send_leaving(telling->fleet, telling->node, process);
}

void
ga_tell_notices(struct ga_app *app, const struct fl_node *node)
{
	struct telling telling = {.fleet = app->fleet, .node = node};

	if (!fl_get_membership(app->fleet)->self.current)
		return;
	gw_for_each_limit(app->gw, tell_limit, &telling);
	gw_for_each_leaving(app->gw, tell_leaving, &telling);
}

void
ga_on_leaving(void *user, uint64_t process)
{
	struct ga_app *app = user;

	fl_broadcast_leaving(app->fleet, process);
}

bool
ga_on_fleet_leaving(void *user, uint64_t target_process)
{
	struct ga_app *app = user;

	return gw_add_leaving(app->gw, target_process);
}

/* Answers a question as the owner. Returns false if the target is unknown. */
static bool
answer(struct ga_app *app, const struct fl_ask *ask, struct fl_permit *out)
{
	int64_t now_us = cs_now_us();
	struct bl_permit permit;
	struct bl_ask question = {
	    .target_process = ask->limit.target_process,
	    .limit = from_fleet(&ask->limit, now_us),
	    .cold_left_us = ask->cold_left_us,
	    .count = ask->count,
	    .wait_max_us = ask->wait_max_us,
	};

	if (gw_answer_ask(app->gw, &question, &permit) != CS_OK)
		return false;
	*out = (struct fl_permit){
	    .limit = to_fleet(permit.target_process, &permit.limit, now_us),
	    .count = permit.count,
	    .wait_us = permit.wait_us,
	    .ask_again_us = permit.ask_again_us,
	};
	return true;
}

void
ga_on_fleet_permit(void *user, const struct fl_permit *permit)
{
	struct ga_app *app = user;

	gw_add_permit(
	    app->gw, &(struct bl_permit){
			 .target_process = permit->limit.target_process,
			 .limit = from_fleet(&permit->limit, cs_now_us()),
			 .count = permit->count,
			 .wait_us = permit->wait_us,
			 .ask_again_us = permit->ask_again_us,
		     });
}

/*
 * The node that received the question first may see another owner than the one
 * that asks; it passes it on once.
 */
void
ga_on_fleet_ask(void *user, const struct fl_ask *ask)
{
	struct ga_app *app = user;
	const struct fl_node *owner =
	    fl_membership_find_owner(fl_get_membership(app->fleet),
		ask->limit.target_process, cs_now_us());
	struct fl_permit permit;

	if (owner != NULL && !ask->passed_on)
		fl_pass_on_ask(app->fleet, owner, ask);
	else if (answer(app, ask, &permit))
		fl_send_permit(app->fleet, &ask->asker, &permit);
}

void
ga_on_ask(void *user, const struct bl_ask *ask, uint32_t data_centre)
{
	struct ga_app *app = user;
	const struct fl_membership *membership = fl_get_membership(app->fleet);
	const char *region = app->topology.data_centres[data_centre].region;
	int64_t now_us = cs_now_us();
	struct fl_ask question = {
	    .limit = to_fleet(ask->target_process, &ask->limit, now_us),
	    .count = ask->count,
	    .wait_max_us = ask->wait_max_us < 0 ? 0 : ask->wait_max_us,
	    .cold_left_us = ask->cold_left_us,
	};
	struct fl_permit permit;
	const struct fl_node *node;

	if (!app->topology.data_centres[data_centre].same_region) {
		node = fl_membership_find_relay(
		    membership, cs_hash(region, strlen(region)), app->asks++);
		if (node != NULL)
			fl_send_ask(app->fleet, node, &question);
		return;
	}
	node =
	    fl_membership_find_owner(membership, ask->target_process, now_us);
	if (node != NULL)
		fl_send_ask(app->fleet, node, &question);
	else if (answer(app, &question, &permit))
		ga_on_fleet_permit(app, &permit);
}

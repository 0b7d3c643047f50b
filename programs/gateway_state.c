/* Whether this VM accepts calls, and what it tells the other VMs of that. */
#include "gateway.h"

bool
ga_is_loaded(const struct ga_app *app)
{
	if (app->accepts_calls)
		return true;
	return gw_table(app->gw) != NULL && app->targets_loaded &&
	       (app->evacuations_loaded || app->settings.evacuate_ms == 0) &&
	       !ga_awaits_proof(app);
}

void
ga_accept_calls(struct ga_app *app)
{
	if (!ga_is_loaded(app))
		return;
	app->accepts_calls = true;
	gw_set_loaded(app->gw);
}

bool
ga_is_ready(const struct ga_app *app)
{
	return ga_is_loaded(app) && app->stop_started_us == 0;
}

void
ga_publish_state(struct ga_app *app)
{
	if (app->fleet == NULL)
		return;
	fl_set_ready(app->fleet, ga_is_ready(app));
	fl_set_current(app->fleet, app->role == FL_ROLE_WATCH_STORE &&
				       app->stop_started_us == 0 &&
				       os_client_is_current(app->store));
}

/* Sub-commands. Each returns the exit code of the process (enum st_exit). */
#ifndef CM_COMMANDS_H
#define CM_COMMANDS_H

int cm_entry(int argc, char **argv);
int cm_gateway(int argc, char **argv);
int cm_check(int argc, char **argv);
int cm_apply(int argc, char **argv);
int cm_get(int argc, char **argv);
int cm_status(int argc, char **argv);
int cm_drain(int argc, char **argv);
int cm_report(int argc, char **argv);
int cm_where(int argc, char **argv);
int cm_explain(int argc, char **argv);

#endif

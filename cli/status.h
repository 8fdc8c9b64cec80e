/*
 * Human-readable views: an entry's endpoints, a job's progress.
 */
#ifndef BH_CLI_STATUS_H
#define BH_CLI_STATUS_H

#include "cli/client.h"

int cli_status(cli_context_t *cli, char **args);
int cli_top(cli_context_t *cli, char **args);
int cli_watch(cli_context_t *cli, char **args);

#endif

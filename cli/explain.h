/*
 * Collects the log lines about one job from the logs of all processes.
 */
#ifndef BH_CLI_EXPLAIN_H
#define BH_CLI_EXPLAIN_H

#include "cli/client.h"

/**
 * cli_explain() - print the lines about a job, oldest first
 * @args: the job's id, then log files; "-" or none for standard input
 */
int cli_explain(cli_context_t *cli, char **args);

#endif

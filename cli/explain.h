/*
 * The story of one job out of the log files of all processes.
 */
#ifndef BH_CLI_EXPLAIN_H
#define BH_CLI_EXPLAIN_H

#include "cli/client.h"

/**
 * cli_explain() - print the lines that touch a job, oldest first
 * @args: the job's id, then log files; "-" or none for standard input
 */
int cli_explain(cli_context_t *cli, char **args);

#endif

/*
 * Open-loop load generator: requests are sent at their scheduled times whether
 * or not earlier ones have completed, and latency is measured from these times.
 */
#ifndef BH_CLI_LOAD_H
#define BH_CLI_LOAD_H

#include "cli/client.h"

/**
 * cli_load() - the command "load"
 *
 * Return: the process's exit code.
 */
int cli_load(cli_context_t *cli, int argc, char **argv);

#endif

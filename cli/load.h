/*
 * Open-loop load: requests leave at their scheduled times whether or not
 * earlier ones were answered, and latency counts from the schedule.
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

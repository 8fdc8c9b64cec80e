/*
 * Common includes of the test programs, in the order that cmocka requires, and
 * helpers.
 */
#ifndef BH_TESTS_TEST_H
#define BH_TESTS_TEST_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS(n) ((bh_usec_t)(n)*1000)

/* Returns the index of a step or fault named on the command line. */
static inline int find_name(const char *const *names, int n, const char *name)
{
	for (int i = 0; i < n; i++) {
		if (strcmp(names[i], name) == 0)
			return i;
	}
	fprintf(stderr, "no such step or fault: %s\n", name);
	exit(2);
}

#endif

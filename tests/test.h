/*
 * What every test program includes, in the order that cmocka wants.
 */
#ifndef BH_TESTS_TEST_H
#define BH_TESTS_TEST_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#define MS(n) ((bh_usec_t)(n)*1000)

#endif

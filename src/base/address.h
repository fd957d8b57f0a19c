/*
 * Numeric addresses as text: 192.0.2.7:80 or [2001:db8::7]:80. Host names are
 * rejected, so that no process depends on a resolver.
 */
#ifndef BASE_ADDRESS_H
#define BASE_ADDRESS_H

#include <stdbool.h>
#include <stdint.h>

bool address_parse(const char *, char **host, uint16_t *port);
bool address_is_any(const char *);

#endif

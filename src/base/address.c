#include "base/address.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

/* Parses a port; false if it is not 0 to 65535. */
static bool
parse_port(const char *text, uint16_t *port)
{
	guint64 value;

	if (!g_ascii_string_to_unsigned(text, 10, 0, UINT16_MAX, &value, NULL))
		return false;
	*port = (uint16_t)value;
	return true;
}

/*
 * Parses HOST:PORT or [HOST]:PORT with a numeric host; false if it is neither.
 * The host has no brackets and must be freed. Either output may be NULL.
 */
bool
address_parse(const char *text, char **host, uint16_t *port)
{
	g_autofree char *name = NULL;
	const char *colon = strrchr(text, ':');
	unsigned char binary[sizeof(struct in6_addr)];
	size_t length;
	uint16_t number;
	int family = AF_INET;

	if (colon == NULL || !parse_port(colon + 1, &number))
		return false;
	length = (size_t)(colon - text);
	if (length > 2 && text[0] == '[' && colon[-1] == ']') {
		family = AF_INET6;
		name = g_strndup(text + 1, length - 2);
	} else {
		name = g_strndup(text, length);
	}
	if (inet_pton(family, name, binary) != 1)
		return false;
	if (host != NULL)
		*host = g_steal_pointer(&name);
	if (port != NULL)
		*port = number;
	return true;
}

/*
 * Returns whether an address is a wildcard: 0.0.0.0, or [::] in any spelling,
 * also with 0.0.0.0 mapped into it.
 */
bool
address_is_any(const char *text)
{
	g_autofree char *host = NULL;
	struct in6_addr binary;
	struct in_addr ipv4;

	if (!address_parse(text, &host, NULL))
		return false;
	if (inet_pton(AF_INET, host, &ipv4) == 1)
		return ipv4.s_addr == htonl(INADDR_ANY);
	if (inet_pton(AF_INET6, host, &binary) != 1)
		return false;
	memcpy(&ipv4, binary.s6_addr + sizeof(binary) - sizeof(ipv4),
	    sizeof(ipv4));
	return IN6_IS_ADDR_UNSPECIFIED(&binary) ||
	    (IN6_IS_ADDR_V4MAPPED(&binary) && ipv4.s_addr == htonl(INADDR_ANY));
}

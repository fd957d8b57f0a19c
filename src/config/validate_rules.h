/*
 * Validation rules for single fields of objects, as a table that validate.c
 * applies. Rules that concern several fields or objects are code in validate.c.
 */
#ifndef CONFIG_VALIDATE_RULES_H
#define CONFIG_VALIDATE_RULES_H

#include <stddef.h>
#include <stdint.h>

#include "heatherturn/v1/operator.pb-c.h"

enum rule_check {
	RULE_NAME, /* letters, digits, '.', '_' and '-' */
	RULE_TEXT, /* at most max bytes */
	RULE_RANGE, /* a number from min to max */
	RULE_ENUM, /* a known value other than 0, unspecified */
	RULE_DIGEST, /* hex SHA-256 in lower case */
	RULE_ADDRESS, /* numeric HOST:PORT */
	RULE_SERVICE, /* the id of a service */
	RULE_FAILURE_DOMAIN, /* the id of a failure domain */
};

/* The rule of a repeated field applies to each item. */
struct field_rule {
	Heatherturn__V1__ObjectKind kind;
	const char *field;
	enum rule_check check;
	uint64_t min;
	uint64_t max;
};

extern const struct field_rule field_rules[];
extern const size_t field_rule_count;

#endif

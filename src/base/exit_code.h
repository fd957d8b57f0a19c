/* Exit codes of the binary; the man page lists them too. */
#ifndef BASE_EXIT_CODE_H
#define BASE_EXIT_CODE_H

enum exit_code {
	EXIT_CODE_OK = 0,
	EXIT_CODE_FAILED = 1, /* the call was valid but failed */
	EXIT_CODE_USAGE = 2, /* wrong command or flag */
	EXIT_CODE_SETTING = 3, /* a setting's value is not allowed */
	EXIT_CODE_LISTEN = 4, /* can't listen on an address */
	EXIT_CODE_UNREACHABLE = 5, /* an entry or the platform is unreachable */
	EXIT_CODE_DENIED = 6, /* the operator token is wrong or missing */
	EXIT_CODE_CONFLICT = 7, /* the object was changed concurrently */
	EXIT_CODE_TIMEOUT = 8, /* not applied within the requested time */
	EXIT_CODE_UNKNOWN = 9, /* the change may or may not have been stored */
	EXIT_CODE_REFUSED = 10, /* the gateway would refuse the request */
};

#endif

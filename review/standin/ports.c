/* Prints as many free loopback ports as its argument says, on one line. */
#include <stdio.h>
#include <stdlib.h>

#include "http.h"

int
main(int argc, char **argv)
{
	long count = argc > 1 ? strtol(argv[1], NULL, 10) : 1;

	for (long i = 0; i < count; i++) {
		int port = 0;

		/* It stays open until the exit, so that all differ. */
		http_listen(&port);
		printf("%d ", port);
	}
	putchar('\n');
	return 0;
}

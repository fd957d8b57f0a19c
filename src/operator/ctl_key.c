#include <string.h>

#include <sodium.h>

#include "operator/ctl.h"

#define KEY_BYTES 32
#define KEY_TEXT_BYTES             \
	sodium_base64_ENCODED_LEN( \
	    KEY_BYTES, sodium_base64_VARIANT_URLSAFE_NO_PADDING)

/* Prints a new random key and its digest; the key is not stored. */
static int
print_new_key(struct ctl *ctl)
{
	unsigned char random[KEY_BYTES];
	char key[KEY_TEXT_BYTES];
	g_autofree char *digest = NULL;

	if (sodium_init() < 0) {
		g_string_append(ctl->diagnostics,
		    "heatherturn ctl: can't initialise the random number "
		    "generator\n");
		return EXIT_CODE_FAILED;
	}
	randombytes_buf(random, sizeof(random));
	sodium_bin2base64(key, sizeof(key), random, sizeof(random),
	    sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
	if (ctl->json)
		g_string_append_printf(ctl->out,
		    "{\"key\": \"%s\", \"api_key_sha256\": \"%s\"}\n", key,
		    digest);
	else
		g_string_append_printf(ctl->out,
		    "key            %s\napi_key_sha256 %s\n", key, digest);
	sodium_memzero(random, sizeof(random));
	sodium_memzero(key, sizeof(key));
	return EXIT_CODE_OK;
}

/* Prints the digest of the key in a file, or standard input for "-". */
static int
print_digest(struct ctl *ctl, const char *path)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *digest = ctl_compute_key_digest(path, &error);

	if (digest == NULL) {
		g_string_append_printf(
		    ctl->diagnostics, "heatherturn ctl: %s\n", error->message);
		return ctl_exit_code(error);
	}
	g_string_append_printf(ctl->out, "%s\n", digest);
	return EXIT_CODE_OK;
}

/* heatherturn ctl key new, or key digest [FILE]; returns the exit code. */
int
ctl_run_key(struct ctl *ctl, int argc, char **argv)
{
	const char *action = argc > 2 ? argv[2] : "";

	if (strcmp(action, "new") == 0 && argc == 3)
		return print_new_key(ctl);
	if (strcmp(action, "digest") == 0 && argc <= 4)
		return print_digest(ctl, argc > 3 ? argv[3] : "-");
	g_string_append(ctl->diagnostics,
	    "heatherturn ctl: use key new, or key digest [FILE]\n");
	return EXIT_CODE_USAGE;
}

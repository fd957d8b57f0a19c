/*
 * The HTTP server with TLS: requests are served, and a reloaded certificate is
 * used for new connections while open ones continue.
 */
#include <sys/socket.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <glib/gstdio.h>
#include <gnutls/gnutls.h>
#include <gnutls/x509.h>

#include "base/httpd.h"
#include "certificate.h"

#define TEST_TIMEOUT_S 20.
#define REQUEST	       "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"

struct fixture {
	struct ev_loop *loop;
	struct httpd *httpd;
	struct httpd_request *pending;
	char *directory;
	char *certificate_file;
	char *key_file;
	bool timed_out;
};

/* Connection of a client. */
struct client {
	struct ev_io watcher;
	gnutls_session_t session;
	gnutls_certificate_credentials_t credentials;
	int fd;
};

/* Writes a key and a certificate for name; only the key if name is NULL. */
static void
write_pair(struct fixture *fixture, const char *name)
{
	certificate_write(fixture->certificate_file, fixture->key_file, name);
}

/* Keeps each request for the test. */
static void
on_request(void *data, struct httpd_request *request)
{
	((struct fixture *)data)->pending = request;
}

/* Does nothing; the tests keep no state of closed requests. */
static void
on_closed(void *data, struct httpd_request *request, bool complete)
{
}

static const struct httpd_ops ops = {
    .request = on_request, .closed = on_closed};

/* Marks that a call did not complete within TEST_TIMEOUT_S. */
static void
on_timeout(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	((struct fixture *)timer->data)->timed_out = true;
}

/* Does nothing: the watcher only makes the loop return. */
static void
on_client_readable(struct ev_loop *loop, struct ev_io *watcher, int events)
{
}

/* Runs the loop until a GnuTLS call no longer returns GNUTLS_E_AGAIN. */
#define RUN_TLS(fixture, code, call)                                     \
	do {                                                             \
		struct ev_timer timeout;                                 \
		ev_timer_init(&timeout, on_timeout, TEST_TIMEOUT_S, 0.); \
		timeout.data = (fixture);                                \
		ev_timer_start((fixture)->loop, &timeout);               \
		while (((code) = (call)) == GNUTLS_E_AGAIN) {            \
			ev_run((fixture)->loop, EVRUN_ONCE);             \
			g_assert_false((fixture)->timed_out);            \
		}                                                        \
		ev_timer_stop((fixture)->loop, &timeout);                \
	} while (0)

/* Starts a server with a certificate. */
static void
set_up(struct fixture *fixture, gconstpointer unused)
{
	struct httpd_settings settings = {.address = "127.0.0.1:0",
	    .body_max_bytes = 1000,
	    .bodies_max_bytes = 1000};
	g_autoptr(GError) error = NULL;

	fixture->loop = ev_loop_new(EVFLAG_AUTO);
	fixture->directory = g_dir_make_tmp("httpd-XXXXXX", NULL);
	fixture->certificate_file = g_build_filename(
	    fixture->directory, "certificate", NULL);
	fixture->key_file = g_build_filename(fixture->directory, "key", NULL);
	write_pair(fixture, "first");
	settings.certificate_file = fixture->certificate_file;
	settings.key_file = fixture->key_file;
	fixture->httpd = httpd_new(
	    fixture->loop, &settings, &ops, fixture, &error);
	g_assert_no_error(error);
}

/* Ends the server and removes the files. */
static void
tear_down(struct fixture *fixture, gconstpointer unused)
{
	httpd_free(fixture->httpd);
	ev_loop_destroy(fixture->loop);
	g_unlink(fixture->certificate_file);
	g_unlink(fixture->key_file);
	g_rmdir(fixture->directory);
	g_free(fixture->certificate_file);
	g_free(fixture->key_file);
	g_free(fixture->directory);
}

/* Connects, and checks the common name of the server's certificate. */
static void
client_open(struct fixture *fixture, struct client *client, const char *name)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET,
	    .sin_port = htons((uint16_t)httpd_port(fixture->httpd)),
	    .sin_addr = {htonl(INADDR_LOOPBACK)},
	};
	char common_name[64];
	size_t size = sizeof(common_name);
	unsigned int count;
	gnutls_x509_crt_t crt;
	int code;

	client->fd = socket(AF_INET, SOCK_STREAM, 0);
	g_assert_cmpint(
	    connect(client->fd, (struct sockaddr *)&address, sizeof(address)),
	    ==, 0);
	fcntl(client->fd, F_SETFL, O_NONBLOCK);
	gnutls_certificate_allocate_credentials(&client->credentials);
	gnutls_init(&client->session, GNUTLS_CLIENT | GNUTLS_NONBLOCK);
	gnutls_set_default_priority(client->session);
	gnutls_credentials_set(
	    client->session, GNUTLS_CRD_CERTIFICATE, client->credentials);
	gnutls_transport_set_int(client->session, client->fd);
	ev_io_init(&client->watcher, on_client_readable, client->fd, EV_READ);
	ev_io_start(fixture->loop, &client->watcher);
	RUN_TLS(fixture, code, gnutls_handshake(client->session));
	g_assert_cmpint(code, ==, 0);
	gnutls_x509_crt_init(&crt);
	gnutls_x509_crt_import(crt,
	    gnutls_certificate_get_peers(client->session, &count),
	    GNUTLS_X509_FMT_DER);
	gnutls_x509_crt_get_dn_by_oid(
	    crt, GNUTLS_OID_X520_COMMON_NAME, 0, 0, common_name, &size);
	g_assert_cmpstr(common_name, ==, name);
	gnutls_x509_crt_deinit(crt);
}

/* Sends a request and waits until the server has received it. */
static void
client_send(struct fixture *fixture, struct client *client)
{
	ssize_t code;

	fixture->pending = NULL;
	RUN_TLS(fixture, code,
	    gnutls_record_send(client->session, REQUEST, strlen(REQUEST)));
	g_assert_cmpint(code, ==, strlen(REQUEST));
	RUN_TLS(fixture, code, fixture->pending != NULL ? 0 : GNUTLS_E_AGAIN);
}

/* Responds to a request, checks the response and closes the connection. */
static void
client_finish(struct fixture *fixture, struct client *client,
    struct httpd_request *request)
{
	g_autoptr(GString) received = g_string_new(NULL);
	char part[256];
	ssize_t length;

	httpd_respond(request, 200, NULL, 0, "answer", 6);
	do {
		RUN_TLS(fixture, length,
		    gnutls_record_recv(client->session, part, sizeof(part)));
		g_string_append_len(received, part, MAX(length, 0));
	} while (length > 0);
	g_assert_true(g_str_has_prefix(received->str, "HTTP/1.1 200"));
	g_assert_true(g_str_has_suffix(received->str, "answer"));
	ev_io_stop(fixture->loop, &client->watcher);
	gnutls_deinit(client->session);
	gnutls_certificate_free_credentials(client->credentials);
	close(client->fd);
}

/* New connections get the new certificate, and the old connection continues. */
static void
test_reload(struct fixture *fixture, gconstpointer unused)
{
	g_autoptr(GError) error = NULL;
	struct client before, after;
	struct httpd_request *first;

	client_open(fixture, &before, "first");
	client_send(fixture, &before);
	first = fixture->pending;
	write_pair(fixture, "second");
	g_assert_true(httpd_reload_certificate(fixture->httpd, &error));
	client_open(fixture, &after, "second");
	client_send(fixture, &after);
	client_finish(fixture, &after, fixture->pending);
	client_finish(fixture, &before, first);
}

/* Files that do not match are rejected, and the old ones stay in use. */
static void
test_bad_pair(struct fixture *fixture, gconstpointer unused)
{
	g_autoptr(GError) mismatch = NULL;
	g_autoptr(GError) missing = NULL;
	struct client client;

	write_pair(fixture, NULL);
	g_assert_false(httpd_reload_certificate(fixture->httpd, &mismatch));
	g_assert_error(mismatch, HTTPD_ERROR, HTTPD_ERROR_CERTIFICATE);
	g_unlink(fixture->certificate_file);
	g_assert_false(httpd_reload_certificate(fixture->httpd, &missing));
	g_assert_error(missing, HTTPD_ERROR, HTTPD_ERROR_CERTIFICATE);
	client_open(fixture, &client, "first");
	client_send(fixture, &client);
	client_finish(fixture, &client, fixture->pending);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add("/httpd_tls/a certificate is reloaded", struct fixture, NULL,
	    set_up, test_reload, tear_down);
	g_test_add("/httpd_tls/files that do not match are rejected",
	    struct fixture, NULL, set_up, test_bad_pair, tear_down);
	return g_test_run();
}

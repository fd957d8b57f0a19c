/*
 * Non-blocking TCP sockets by numeric address: HOST:PORT, IPv6 in brackets.
 */
#ifndef PEER_SOCKET_H
#define PEER_SOCKET_H

#include <sys/socket.h>

#include <stdbool.h>

#include <glib.h>

bool socket_parse_address(const char *, struct sockaddr_storage *, socklen_t *);
int socket_connect(const char *text, GError **);
int socket_connect_error(int fd);
int socket_listen(const char *text, int *port, GError **);
int socket_accept(int listener);
bool socket_is_out_of_resources(void);

#endif

/* Responses of upstreams and parts of them, for raw_server. */
#ifndef TESTS_RAW_RESPONSES_H
#define TESTS_RAW_RESPONSES_H

#define OK	"HTTP/1.1 200 OK\r\n"
#define OK_1_0	"HTTP/1.0 200 OK\r\n"
#define CLOSE	"Connection: close\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n"
#define SEAL                             \
	"Heatherturn-Attempt-Id: r1\r\n" \
	"Heatherturn-Server-Seal: seal\r\n"
#define TEXT   SEAL "Content-Type: text/plain\r\n"
#define STREAM SEAL "Content-Type: text/event-stream\r\n"
#define E1     "id: 1\ndata: 1\n\n"
#define E2     "id: 2\ndata: 2\n\n"
#define E3     "id: 3\ndata: 3\n\n"
/* E1 as a chunk. */
#define E1_CHUNK "f\r\n" E1 "\r\n"

/* Initialisers of the usual responses of the next upstream. */
#define WHOLE	    .bytes = OK TEXT "\r\nwhole"
#define ALL_EVENTS  .bytes = OK STREAM "\r\n" E1 E2 E3
#define LAST_EVENTS .bytes = OK STREAM "\r\n" E2 E3

#endif

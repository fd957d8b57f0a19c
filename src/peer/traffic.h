/*
 * Counts messages and bytes on peer links by sort and direction, to separate
 * the cost of control from the work that a process carries.
 */
#ifndef PEER_TRAFFIC_H
#define PEER_TRAFFIC_H

#include <stddef.h>
#include <stdint.h>

void traffic_count_sent(uint32_t kind, size_t bytes);
void traffic_count_received(uint32_t kind, size_t bytes);

#endif

/*
 * Authentication of links with the cluster key, which is not sent: the proof is
 * a keyed hash over the nonces of both sides of a link. The prover is the side
 * that sends a proof, the verifier the side that checks it.
 */
#ifndef PEER_LINK_AUTH_H
#define PEER_LINK_AUTH_H

#include <stdbool.h>
#include <stdint.h>

#include "peer/message.h"

#define LINK_AUTH_NONCE_BYTES 32
#define LINK_AUTH_PROOF_BYTES 32

void link_auth_generate_nonce(uint8_t nonce[LINK_AUTH_NONCE_BYTES]);
void link_auth_compute_proof(const char *cluster_key, bool prover_is_opener,
    const uint8_t *prover_nonce, const uint8_t *verifier_nonce,
    uint8_t proof[LINK_AUTH_PROOF_BYTES]);
bool link_auth_verify_proof(const char *cluster_key, bool prover_is_opener,
    const uint8_t *prover_nonce, const uint8_t *verifier_nonce,
    const struct bytes *proof);

#endif

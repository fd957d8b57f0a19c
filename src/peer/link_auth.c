#include "peer/link_auth.h"

#include <string.h>

#include <sodium.h>

G_STATIC_ASSERT(LINK_AUTH_PROOF_BYTES == crypto_auth_BYTES);

/* Generates a random nonce. */
void
link_auth_generate_nonce(uint8_t nonce[LINK_AUTH_NONCE_BYTES])
{
	randombytes_buf(nonce, LINK_AUTH_NONCE_BYTES);
}

/*
 * Computes the proof that the prover sends, over its own nonce and the
 * verifier's. It covers which side opened the link, so that a proof can't be
 * reflected to its sender.
 */
void
link_auth_compute_proof(const char *cluster_key, bool prover_is_opener,
    const uint8_t *prover_nonce, const uint8_t *verifier_nonce,
    uint8_t proof[LINK_AUTH_PROOF_BYTES])
{
	uint8_t key[crypto_auth_KEYBYTES];
	uint8_t text[1 + 2 * LINK_AUTH_NONCE_BYTES];

	crypto_generichash(key, sizeof(key), (const uint8_t *)cluster_key,
	    strlen(cluster_key), NULL, 0);
	text[0] = prover_is_opener ? 1 : 2;
	memcpy(&text[1], prover_nonce, LINK_AUTH_NONCE_BYTES);
	memcpy(&text[1 + LINK_AUTH_NONCE_BYTES], verifier_nonce,
	    LINK_AUTH_NONCE_BYTES);
	crypto_auth(proof, text, sizeof(text), key);
	sodium_memzero(key, sizeof(key));
}

/* Returns whether a proof was computed with the same key, in constant time. */
bool
link_auth_verify_proof(const char *cluster_key, bool prover_is_opener,
    const uint8_t *prover_nonce, const uint8_t *verifier_nonce,
    const struct bytes *proof)
{
	uint8_t wanted[LINK_AUTH_PROOF_BYTES];

	if (proof->length != LINK_AUTH_PROOF_BYTES)
		return false;
	link_auth_compute_proof(cluster_key, prover_is_opener, prover_nonce,
	    verifier_nonce, wanted);
	return sodium_memcmp(wanted, proof->data, LINK_AUTH_PROOF_BYTES) == 0;
}

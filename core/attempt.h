/*
 * One attempt of a request at one endpoint. The entry's incarnation and the
 * attempt's sequence together are the request id at the agent.
 */
#ifndef BH_CORE_ATTEMPT_H
#define BH_CORE_ATTEMPT_H

#include "core/peer.h"

typedef struct bh_request bh_request_t;

/**
 * struct bh_attempt - an attempt, linked to its endpoint, peer and request
 * @peer_incarnation: incarnation of the agent when the frame was sent
 */
struct bh_attempt {
	TAILQ_ENTRY(bh_attempt) in_endpoint;
	TAILQ_ENTRY(bh_attempt) in_peer;
	TAILQ_ENTRY(bh_attempt) in_request;
	uint64_t seq;
	uint64_t peer_incarnation;
	bh_request_t *request;
	bh_endpoint_t *endpoint;
	bh_usec_t sent_at;
};

#endif

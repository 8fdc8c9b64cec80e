#include "core/reason.h"

typedef struct bh_reason_row {
	const char *name;
	const char *text;
	unsigned status;
} bh_reason_row_t;

static const bh_reason_row_t reason_table[BH_REASON_COUNT] = {
	[BH_REASON_NONE] = {"none", "no failure", 200},
	[BH_REASON_NO_SERVICE] = {"no-service",
				  "no endpoint ever announced the service",
				  404},
	[BH_REASON_NO_ENDPOINT] = {"no-endpoint",
				   "no endpoint of the service is usable", 503},
	[BH_REASON_DRAINING] = {"draining", "the process is shutting down",
				503},
	[BH_REASON_TENANT_RATE] = {"tenant-rate",
				   "the tenant's rate limit is used up", 429},
	[BH_REASON_TENANT_CONCURRENCY] = {"tenant-concurrency",
					  "the tenant has too many requests "
					  "in flight",
					  429},
	[BH_REASON_TOO_MANY_REQUESTS] = {"too-many-requests",
					 "the entry has too many requests in "
					 "flight",
					 503},
	[BH_REASON_DEADLINE] = {"deadline",
				"no answer is possible before the deadline",
				504},
	[BH_REASON_OVERLOADED] = {"overloaded", "the endpoint's queue is full",
				  503},
	[BH_REASON_AGENT_LOST] = {"agent-lost",
				  "the agent beside the endpoint was lost",
				  502},
	[BH_REASON_RUNNER_LOST] = {"runner-lost",
				   "the runner closed without an answer", 502},
	[BH_REASON_NEVER_SEEN] = {"never-seen",
				  "the request did not reach the agent", 503},
	[BH_REASON_ABANDONED] = {"abandoned", "the entry gave the request up",
				 503},
	[BH_REASON_CORRUPT_ANSWER] = {"corrupt-answer",
				      "the answer's checksum does not match",
				      502},
	[BH_REASON_STORE_UNAVAILABLE] = {"store-unavailable",
					 "the table service gave no answer",
					 503},
	[BH_REASON_KEY_IN_USE] = {"key-in-use",
				  "another request with this idempotency key "
				  "is in flight",
				  409},
	[BH_REASON_KEY_UNKNOWN] = {"key-unknown",
				   "an earlier request with this idempotency "
				   "key has no known outcome",
				   409},
	[BH_REASON_KEY_REUSED] = {"key-reused",
				  "the idempotency key belongs to a request "
				  "with another body",
				  422},
	[BH_REASON_ANSWER_UNKEPT] = {"answer-unkept",
				     "it ran before with this idempotency key; "
				     "its answer was too large to keep",
				     409},
};

const char *bh_reason_name(bh_reason_t reason)
{
	return reason_table[reason].name;
}

const char *bh_reason_text(bh_reason_t reason)
{
	return reason_table[reason].text;
}

unsigned bh_reason_status(bh_reason_t reason)
{
	return reason_table[reason].status;
}

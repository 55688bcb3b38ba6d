#ifndef PH_TRACE_H
#define PH_TRACE_H

#include "pollenhitch/counter.h"
#include "pollenhitch/event.h"

/*
 * What the core records of its decisions: one call adds the event to the
 * timeline and counts it.
 */

/* ph_trace_peer: name of the VM that an attempt goes to, NULL when it is not known. */
const char *ph_trace_peer (const PhWorld *world, const PhAttempt *attempt);

void ph_trace_opened (PhContext *ctx, const PhWorld *world, const PhCall *call);
void ph_trace_aborted (PhContext *ctx, const PhWorld *world, const PhCall *call);
void ph_trace_refused (PhContext *ctx, const PhWorld *world, const PhCall *call, PhReason reason);

/* ph_trace_started: an attempt was handed to the runtime. */
void ph_trace_started (PhContext *ctx, const PhWorld *world, const PhAttempt *attempt);

/* ph_trace_retried: a further attempt was added; is_hedge while an earlier one is open. */
void ph_trace_retried (PhContext *ctx, const PhWorld *world, const PhCall *call, bool is_hedge);

void
ph_trace_failed (PhContext *ctx, const PhWorld *world, const PhAttempt *attempt, PhReason reason);

/* ph_trace_responded: the head of the response that the caller gets has come. */
void ph_trace_responded (PhContext *ctx, const PhWorld *world, const PhAttempt *attempt);
void ph_trace_finished (PhContext *ctx,
                        const PhWorld *world,
                        const PhAttempt *attempt,
                        bool is_complete);

/* ph_trace_limit: the limit of the local upstream may have changed. */
void ph_trace_limit (PhContext *ctx, PhWorld *world, uint32_t limit);

#endif

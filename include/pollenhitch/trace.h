#ifndef PH_TRACE_H
#define PH_TRACE_H

#include "pollenhitch/counter.h"
#include "pollenhitch/event.h"

/*
 * Tracing of calls. Each function records one step of a call: it adds an event
 * to the timeline and updates the counters and histograms that belong to it.
 */

/* ph_trace_peer: name of the VM that an attempt is sent to, or NULL when it is not known. */
const char *ph_trace_peer (const PhWorld *world, const PhAttempt *attempt);

/* ph_trace_opened: a call was accepted from a caller or from another node. */
void ph_trace_opened (PhContext *ctx, const PhWorld *world, const PhCall *call);

/* ph_trace_aborted: the caller left before the call had ended. */
void ph_trace_aborted (PhContext *ctx, const PhWorld *world, const PhCall *call);

/* ph_trace_refused: a call was refused, or failed without a response. Logs a line for a call of a
 * caller. Not for a refusal by ph_call_open, which is only counted (ph_count_refusal). */
void ph_trace_refused (PhContext *ctx, const PhWorld *world, const PhCall *call, PhReason reason);

/* ph_trace_started: an attempt was handed to the runtime. */
void ph_trace_started (PhContext *ctx, const PhWorld *world, const PhAttempt *attempt);

/* ph_trace_retried: a call gets another attempt; is_hedge when an earlier one is still open. */
void ph_trace_retried (PhContext *ctx, const PhWorld *world, const PhCall *call, bool is_hedge);

/* ph_trace_waited: a deeper call waits for a retry token or a slot. Logs its first wait. */
void ph_trace_waited (PhContext *ctx, const PhWorld *world, const PhCall *call);

/* ph_trace_failed: an attempt ended without a response that can be passed on. */
void
ph_trace_failed (PhContext *ctx, const PhWorld *world, const PhAttempt *attempt, PhReason reason);

/* ph_trace_responded: the head of the response that is passed on to the caller has arrived. */
void ph_trace_responded (PhContext *ctx, const PhWorld *world, const PhAttempt *attempt);

/* ph_trace_finished: the body of the response ended, or was truncated (is_complete is false). */
void ph_trace_finished (PhContext *ctx,
                        const PhWorld *world,
                        const PhAttempt *attempt,
                        bool is_complete);

/* ph_trace_limit: record the concurrency limit of the local upstream if it has changed since the
 * last event of this kind. */
void ph_trace_limit (PhContext *ctx, PhWorld *world, uint32_t limit);

#endif

#include "pollenhitch/trace.h"

#include "pollenhitch/world.h"

static const PhCall *
get_call (const PhWorld *world, const PhAttempt *attempt)
{
  return ph_call_get (&world->calls, attempt->call);
}

const char *
ph_trace_peer (const PhWorld *world, const PhAttempt *attempt)
{
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, attempt->upstream);
  const PhMember *member
      = upstream != NULL ? ph_member_get (&world->members, upstream->member) : NULL;

  if (attempt->is_local)
    member = ph_member_get (&world->members, world->membership.self);
  return member != NULL ? member->record.name : NULL;
}

void
ph_trace_opened (PhContext *ctx, const PhWorld *world, const PhCall *call)
{
  ph_count (ctx, call->origin == PH_ORIGIN_PEER ? PH_COUNT_CALLS_PEER : PH_COUNT_CALLS_CALLER, 1);
  ph_event_call (ctx, PH_EVENT_CALL_OPENED, world, call, NULL, PH_REASON_NONE, call->depth);
}

void
ph_trace_aborted (PhContext *ctx, const PhWorld *world, const PhCall *call)
{
  ph_count (ctx, PH_COUNT_CALLS_ABORTED, 1);
  ph_event_call (ctx, PH_EVENT_CALL_ABORTED, world, call, NULL, PH_REASON_CALLER_LEFT,
                 ctx->now - call->opened_at);
}

/* Logs a refused or failed call of a caller: the reason, the time spent on the call, and the state
 * of its service and of the local upstream at that time. */
static void
log_refusal (PhContext *ctx, const PhWorld *world, const PhCall *call, PhReason reason)
{
  const PhService *service = ph_service_get (&world->services, call->service);
  char id[PH_CALL_ID_TEXT_SIZE];

  if (call->origin != PH_ORIGIN_CALLER)
    return;
  ph_call_id_format (call->id, id);
  ph_log (ctx, PH_LOG_INFO, PH_STEP_CHOOSE, id,
          "request refused: %s, run by an upstream: %s, service %s, after %lld ms, "
          "%lld ms left to the deadline, upstreams tried: %u, %u of %u upstreams can be chosen; "
          "local upstream: %u in flight, %u queued, limit %u",
          ph_reason_name (reason), ph_run_name (call->run), service != NULL ? service->name : "",
          (long long)((ctx->now - call->opened_at) / PH_MS),
          (long long)(ph_call_time_left (ctx, call) / PH_MS), call->tried_count,
          service != NULL ? ph_choice_eligible_count (service) : 0,
          service != NULL ? service->upstream_count : 0, world->admission.in_flight,
          world->admission.queued, ph_admission_limit (ctx, world));
}

void
ph_trace_refused (PhContext *ctx, const PhWorld *world, const PhCall *call, PhReason reason)
{
  ph_count_refusal (ctx, reason);
  log_refusal (ctx, world, call, reason);
  ph_event_call (ctx, PH_EVENT_CALL_REFUSED, world, call, NULL, reason, call->run);
}

void
ph_trace_started (PhContext *ctx, const PhWorld *world, const PhAttempt *attempt)
{
  PhTime wait = ctx->now - attempt->queued_at;

  ph_count (ctx, PH_COUNT_ATTEMPTS, 1);
  if (attempt->is_local)
    ph_count_time (ctx, PH_HISTOGRAM_QUEUE, wait);
  if (attempt->is_local && wait > 0)
    ph_count (ctx, PH_COUNT_QUEUED, 1);
  ph_event_call (ctx, attempt->is_local ? PH_EVENT_ATTEMPT_STARTED : PH_EVENT_UPSTREAM_CHOSEN,
                 world, get_call (world, attempt), ph_trace_peer (world, attempt), PH_REASON_NONE,
                 wait);
}

void
ph_trace_retried (PhContext *ctx, const PhWorld *world, const PhCall *call, bool is_hedge)
{
  ph_count (ctx, is_hedge ? PH_COUNT_HEDGES : PH_COUNT_RETRIES, 1);
  ph_event_call (ctx, is_hedge ? PH_EVENT_HEDGE : PH_EVENT_RETRY, world, call, NULL, call->reason,
                 call->tried_count);
}

void
ph_trace_waited (PhContext *ctx, const PhWorld *world, const PhCall *call)
{
  const PhService *service = ph_service_get (&world->services, call->service);
  char id[PH_CALL_ID_TEXT_SIZE];

  ph_count (ctx, PH_COUNT_DEEPER_WAITS, 1);
  if (call->wait_count > 1)
    return;
  ph_call_id_format (call->id, id);
  ph_log (ctx, PH_LOG_DEBUG, PH_STEP_CHOOSE, id,
          "deeper request waits after %s, service %s, %lld ms left to the deadline, %u waiting",
          ph_reason_name (call->reason), service->name,
          (long long)(ph_call_time_left (ctx, call) / PH_MS), service->token_demand.waiting_count);
}

void
ph_trace_failed (PhContext *ctx, const PhWorld *world, const PhAttempt *attempt, PhReason reason)
{
  if (reason == PH_REASON_MISMATCHED_RESPONSE)
    ph_count (ctx, PH_COUNT_MISMATCHED_RESPONSES, 1);
  ph_event_call (ctx, PH_EVENT_ATTEMPT_FAILED, world, get_call (world, attempt),
                 ph_trace_peer (world, attempt), reason, ctx->now - attempt->queued_at);
}

void
ph_trace_responded (PhContext *ctx, const PhWorld *world, const PhAttempt *attempt)
{
  const PhCall *call = get_call (world, attempt);

  if (call->origin == PH_ORIGIN_CALLER)
    ph_count_time (ctx, PH_HISTOGRAM_CALL, ctx->now - call->opened_at);
  ph_event_call (ctx, PH_EVENT_RESPONSE, world, call, ph_trace_peer (world, attempt),
                 PH_REASON_NONE, ctx->now - attempt->started_at);
}

void
ph_trace_finished (PhContext *ctx, const PhWorld *world, const PhAttempt *attempt, bool is_complete)
{
  ph_count (ctx, is_complete ? PH_COUNT_RESPONSES_COMPLETE : PH_COUNT_RESPONSES_TRUNCATED, 1);
  if (attempt->is_local)
    ph_count_time (ctx, PH_HISTOGRAM_UPSTREAM, ctx->now - attempt->started_at);
  ph_event_call (
      ctx, PH_EVENT_CALL_FINISHED, world, get_call (world, attempt), ph_trace_peer (world, attempt),
      is_complete ? PH_REASON_NONE : PH_REASON_CONNECTION_LOST, ctx->now - attempt->started_at);
}

void
ph_trace_limit (PhContext *ctx, PhWorld *world, uint32_t limit)
{
  const PhUpstream *upstream = ph_upstream_get (&world->upstreams, world->admission.upstream);
  const PhService *service
      = upstream != NULL ? ph_service_get (&world->services, upstream->service) : NULL;

  if (limit == world->traced_limit || service == NULL)
    return;
  world->traced_limit = limit;
  ph_event_record (ctx, PH_EVENT_LIMIT_CHANGED, service->name, upstream->version, limit);
}

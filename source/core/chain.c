#include "pollenhitch/chain.h"

#include <math.h>

#include "pollenhitch/world.h"

/* Length of a block, some runs of an upstream long. Requests within a block may belong together.
 * With 2 s a node needed 10 s to learn a route, a third of the time in which load stays as it is.
 */
#define BLOCK_TIME (700 * PH_MS)

/* Bounds of the test: with ln 999 a route of callers is taken for a deeper one in about 1 of 1000
 * cases, with ln 99 a deeper one for one of callers in 1 of 100 (Wald 1945); the latter only costs
 * it its precedence. The sum is bounded, so that a route that changes its callers is noticed. */
#define LOG_RATIO_DEEPER 6.9
#define LOG_RATIO_CALLERS (-4.6)
#define LOG_RATIO_MAX 9.2

/* Lower bound of the total of all nodes for a deeper route, ln 99999: with up to 100 nodes that
 * decide, a wrong decision at any of them has a probability of less than 1 in 1000. */
#define TOTAL_DEEPER 11.5

/* Bounds of what one block adds, because requests of one time may belong together. A decision for a
 * deeper route thus takes at least three blocks. */
#define LOG_RATIO_BLOCK_MIN (-4.6)
#define LOG_RATIO_BLOCK_MAX 2.3

/* Share of the requests of the local upstream that seem to arrive at an idle time: a run that the
 * node has cancelled may still make a call. */
#define DEEPER_IDLE_SHARE 0.02

/* Below this share of idle time in a block its requests say next to nothing. Above the other one,
 * the times of a single run would count for too much. */
#define IDLE_SHARE_MIN 0.05
#define IDLE_SHARE_MAX 0.98

/* Requests of a route that follow each other sooner do not count: an upstream makes several calls
 * at the same time, and callers send several requests on one connection. */
#define SAMPLE_INTERVAL (20 * PH_MS)

/* Half-life of the count of denials, its upper bound, and the count below which it has no effect.
 * With 87 nodes a node's bucket gets a token every one to two seconds, so that one denial has an
 * effect for a second, and many have one for at most four. */
#define DENIAL_HALF_LIFE (1.0 * PH_SECOND)
#define DENIALS_MAX 8.0
#define DENIALS_MIN 0.5

void
ph_chain_set_enabled (PhWorld *world, bool is_enabled)
{
  world->chain.deeper_version += world->chain.is_enabled != is_enabled;
  world->chain.is_enabled = is_enabled;
  world->admission.policy.queue_order = is_enabled ? ph_queue_order_chain : ph_queue_order_urgency;
}

void
ph_chain_count_time (const PhContext *ctx, PhWorld *world, uint32_t in_flight)
{
  PhChain *chain = &world->chain;
  PhTime time = chain->counted_until != 0 ? ctx->now - chain->counted_until : 0;

  chain->counted_until = ctx->now;
  if (in_flight == 0)
    chain->idle_time += time;
  else
    chain->busy_time += time;
}

/* Own evidence does not count beside a total, which includes it: at one of 100 nodes it is wrong in
 * up to 1 of 10 cases. */
void
ph_chain_decide (PhChainEvidence *evidence)
{
  double log_ratio = evidence->is_pooled ? evidence->total / 1000.0 : evidence->log_ratio;
  double deeper = evidence->is_pooled ? TOTAL_DEEPER : LOG_RATIO_DEEPER;

  if (log_ratio >= deeper)
    evidence->is_deeper = true;
  else if (log_ratio <= LOG_RATIO_CALLERS)
    evidence->is_deeper = false;
}

static double
bounded (double log_ratio)
{
  return fmin (fmax (log_ratio, -LOG_RATIO_MAX), LOG_RATIO_MAX);
}

/* Adds the requests of the block that ends now to the evidence of a route. */
static void
end_block (const PhChain *chain, PhChainEvidence *evidence)
{
  double idle = (double)(chain->idle_time - evidence->idle_time);
  double busy = (double)(chain->busy_time - evidence->busy_time);
  double idle_share = fmin (idle / (idle + busy + 1), IDLE_SHARE_MAX);
  double ratio;

  if (idle_share < IDLE_SHARE_MIN)
    return;
  ratio = evidence->idle_count * log (DEEPER_IDLE_SHARE / idle_share)
          + evidence->busy_count * log ((1 - DEEPER_IDLE_SHARE) / (1 - idle_share));
  ratio = fmin (fmax (ratio, LOG_RATIO_BLOCK_MIN), LOG_RATIO_BLOCK_MAX);
  evidence->log_ratio = bounded (evidence->log_ratio + ratio);
  evidence->unreported = bounded (evidence->unreported + ratio);
  ph_chain_decide (evidence);
}

static void
begin_block (const PhContext *ctx, const PhChain *chain, PhChainEvidence *evidence)
{
  evidence->block_began_at = ctx->now;
  evidence->idle_time = chain->idle_time;
  evidence->busy_time = chain->busy_time;
  evidence->idle_count = 0;
  evidence->busy_count = 0;
}

uint32_t
ph_chain_observe (const PhContext *ctx, PhWorld *world, PhChainEvidence *evidence)
{
  PhChain *chain = &world->chain;
  uint32_t in_flight = ph_admission_calls_in_flight (world);

  if (!chain->is_enabled)
    return 0;
  ph_chain_count_time (ctx, world, in_flight);
  if (evidence->block_began_at == 0)
    begin_block (ctx, chain, evidence);
  else if (ctx->now - evidence->block_began_at >= BLOCK_TIME)
    {
      end_block (chain, evidence);
      begin_block (ctx, chain, evidence);
    }
  if (evidence->sampled_at == 0 || ctx->now - evidence->sampled_at >= SAMPLE_INTERVAL)
    {
      evidence->sampled_at = ctx->now;
      if (in_flight == 0)
        evidence->idle_count++;
      else
        evidence->busy_count++;
    }
  return evidence->is_deeper ? 1 : 0;
}

static double
recent_count (const PhContext *ctx, const PhDenials *denials)
{
  return denials->count * exp2 (-(double)(ctx->now - denials->denied_at) / DENIAL_HALF_LIFE);
}

void
ph_chain_record_denial (const PhContext *ctx, PhService *service, bool is_deeper, uint8_t priority)
{
  PhDenials *denials = is_deeper ? &service->token_demand.deeper : &service->token_demand.first;
  double count = recent_count (ctx, denials);

  if (count < DENIALS_MIN || priority < denials->priority)
    denials->priority = priority;
  denials->count = fmin (count + 1, DENIALS_MAX);
  denials->denied_at = ctx->now;
}

bool
ph_chain_leaves_token (const PhContext *ctx,
                       const PhService *service,
                       bool is_deeper,
                       bool has_waited,
                       uint8_t priority)
{
  const PhTokenDemand *demand = &service->token_demand;

  if (is_deeper)
    return has_waited && demand->first.priority < priority
           && recent_count (ctx, &demand->first) >= DENIALS_MIN;
  return demand->deeper.priority <= priority && recent_count (ctx, &demand->deeper) >= DENIALS_MIN;
}

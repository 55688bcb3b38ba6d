#include "pollenhitch/waitqueue.h"

uint32_t
ph_waitqueue_count (const PhWaitQueue *queue)
{
  return queue->nodes[queue->root].size;
}

static bool
is_before (const PhWaitEntry *a, const PhWaitEntry *b)
{
  if (a->key != b->key)
    return a->key < b->key;
  if (a->arrival != b->arrival)
    return a->arrival < b->arrival;
  return a->handle < b->handle;
}

static void
update_size (PhWaitQueue *queue, uint16_t i)
{
  PhWaitNode *node = &queue->nodes[i];

  node->size = (uint16_t)(queue->nodes[node->left].size + queue->nodes[node->right].size + 1);
}

/* Splits a tree into the entries before the given one and the rest. */
static void
split (
    PhWaitQueue *queue, uint16_t root, const PhWaitEntry *entry, uint16_t *before, uint16_t *rest)
{
  PhWaitNode *node = &queue->nodes[root];

  if (root == 0)
    {
      *before = *rest = 0;
      return;
    }
  if (is_before (&node->entry, entry))
    {
      split (queue, node->right, entry, &node->right, rest);
      *before = root;
    }
  else
    {
      split (queue, node->left, entry, before, &node->left);
      *rest = root;
    }
  update_size (queue, root);
}

/* Joins two trees. All entries of the first must be before those of the second. */
static uint16_t
merge (PhWaitQueue *queue, uint16_t a, uint16_t b)
{
  if (a == 0 || b == 0)
    return a != 0 ? a : b;
  if (queue->nodes[a].priority > queue->nodes[b].priority)
    {
      queue->nodes[a].right = merge (queue, queue->nodes[a].right, b);
      update_size (queue, a);
      return a;
    }
  queue->nodes[b].left = merge (queue, a, queue->nodes[b].left);
  update_size (queue, b);
  return b;
}

static uint16_t
allocate_node (PhWaitQueue *queue)
{
  uint16_t i = queue->free_list;

  if (i == 0)
    return queue->allocated_count == PH_WAITQUEUE_MAX ? 0 : ++queue->allocated_count;
  queue->free_list = queue->nodes[i].left;
  return i;
}

/* xorshift32 (Marsaglia 2003). A generator of its own, so that the queue does not consume random
 * numbers of the context. */
static uint32_t
next_priority (PhWaitQueue *queue)
{
  uint32_t x = queue->seed != 0 ? queue->seed : 0x9e3779b9u;

  x ^= x << 13;
  x ^= x >> 17;
  x ^= x << 5;
  return queue->seed = x;
}

bool
ph_waitqueue_add (PhWaitQueue *queue, const PhWaitEntry *entry)
{
  uint16_t i = allocate_node (queue);
  uint16_t before;
  uint16_t rest;

  if (i == 0)
    return false;
  queue->nodes[i] = (PhWaitNode){ .entry = *entry, .priority = next_priority (queue), .size = 1 };
  split (queue, queue->root, entry, &before, &rest);
  queue->root = merge (queue, merge (queue, before, i), rest);
  return true;
}

bool
ph_waitqueue_remove (PhWaitQueue *queue, const PhWaitEntry *entry)
{
  PhWaitEntry next = { entry->key, entry->arrival, entry->handle + 1 };
  uint16_t before;
  uint16_t found;
  uint16_t rest;

  split (queue, queue->root, entry, &before, &rest);
  split (queue, rest, &next, &found, &rest);
  queue->root = merge (queue, before, rest);
  if (found == 0)
    return false;
  queue->nodes[found].left = queue->free_list;
  queue->free_list = found;
  return true;
}

bool
ph_waitqueue_first (const PhWaitQueue *queue, PhWaitEntry *entry)
{
  uint16_t i = queue->root;

  if (i == 0)
    return false;
  while (queue->nodes[i].left != 0)
    i = queue->nodes[i].left;
  *entry = queue->nodes[i].entry;
  return true;
}

uint32_t
ph_waitqueue_rank (const PhWaitQueue *queue, const PhWaitEntry *entry)
{
  uint16_t i = queue->root;
  uint32_t rank = 0;

  while (i != 0)
    if (is_before (&queue->nodes[i].entry, entry))
      {
        rank += queue->nodes[queue->nodes[i].left].size + 1u;
        i = queue->nodes[i].right;
      }
    else
      i = queue->nodes[i].left;
  return rank;
}

#include "pollenhitch/invariant.h"

#include <stdio.h>
#include <stdlib.h>

void
ph_invariant_failed (const char *file, int line, const char *expression)
{
  fprintf (stderr, "%s:%d: invariant failed: %s\n", file, line, expression);
  abort ();
}

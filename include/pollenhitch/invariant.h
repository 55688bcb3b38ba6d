#ifndef PH_INVARIANT_H
#define PH_INVARIANT_H

/*
 * PH_INVARIANT: abort with file, line and expression when a condition that the
 * code guarantees does not hold. It is active in every build, so conditions must
 * be cheap and free of side effects. Input from outside the process must not be
 * checked with it.
 */
#define PH_INVARIANT(condition)                                                                    \
  ((condition) ? (void)0 : ph_invariant_failed (__FILE__, __LINE__, #condition))

void ph_invariant_failed (const char *file, int line, const char *expression)
    __attribute__ ((noreturn, cold));

#endif

/* Declares the context switching functions of Boost.Context: they have C linkage, but Boost ships only
 * a C++ header for them. Unlike swapcontext(), which libpcl uses, they make no system call
 * (docs/design.md, "Routines"). The simulated routines of the tests use them, too. */
#ifndef FC_TRANSPORT_FCONTEXT_H
#define FC_TRANSPORT_FCONTEXT_H

#include <stddef.h>

/* Stacks of finished routines are reused: AddressSanitizer has to discard the poisoning of their old
 * frames. */
#ifdef __SANITIZE_ADDRESS__
#include <sanitizer/asan_interface.h>
#else
#define ASAN_UNPOISON_MEMORY_REGION(address, size) ((void)0)
#endif

typedef void *fcontext_t;
typedef struct {
  fcontext_t fctx; /* the context that was switched away from */
  void *data;      /* passed by it as `vp` */
} transfer_t;

/* Switches to `to`, which receives `vp`; returns when another context switches back to this one. The names
 * are those of Boost.Context. */
// NOLINTNEXTLINE(readability-identifier-naming)
extern transfer_t jump_fcontext(fcontext_t to, void *vp);
/* Makes a context that runs `fn` when it is first switched to. `sp` is the upper end of its stack, which grows
 * down; `size` is the stack's size in bytes. */
// NOLINTNEXTLINE(readability-identifier-naming)
extern fcontext_t make_fcontext(void *sp, size_t size, void (*fn)(transfer_t));

#endif

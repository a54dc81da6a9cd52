/* Boost.Context's switching functions: they have a C calling convention but only a C++ header, so
 * they are declared here. They make no system call, unlike the swapcontext() under libpcl
 * (docs/design.md, "Routines"). Shared with the simulated routines of the tests. */
#ifndef FC_TRANSPORT_FCONTEXT_H
#define FC_TRANSPORT_FCONTEXT_H

#include <stddef.h>

/* The stacks that routines leave are reused: AddressSanitizer must forget what stood on them. */
#ifdef __SANITIZE_ADDRESS__
#include <sanitizer/asan_interface.h>
#else
#define ASAN_UNPOISON_MEMORY_REGION(address, size) ((void)0)
#endif

typedef void *fcontext_t;
typedef struct {
  fcontext_t fctx; /* the context that was left */
  void *data;
} transfer_t;

/* The names are boost_context's. */
// NOLINTNEXTLINE(readability-identifier-naming)
extern transfer_t jump_fcontext(fcontext_t to, void *vp);
/* `sp`: the end of the stack, which grows down from there. */
// NOLINTNEXTLINE(readability-identifier-naming)
extern fcontext_t make_fcontext(void *sp, size_t size, void (*fn)(transfer_t));

#endif

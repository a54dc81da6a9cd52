/* src/transport's calls over virtual time; see sim.h. */
#include <arpa/inet.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>

#ifdef __SANITIZE_ADDRESS__
#include <sanitizer/asan_interface.h>
#else
#define ASAN_UNPOISON_MEMORY_REGION(p, n) ((void)0)
#endif

#include "sim.h"
#include "transport/conn.h"
#include "transport/http.h"
#include "transport/routine.h"

typedef void *fcontext_t;
typedef struct {
  fcontext_t fctx;
  void *data;
} transfer_t;
extern transfer_t jump_fcontext(fcontext_t to, void *vp);
extern fcontext_t make_fcontext(void *sp, size_t size, void (*fn)(transfer_t));

#define STACK ((size_t)512 * 1024)
#define LAG_HALF_LIFE_S 1.0
#define HTTP_HEAD_BYTES 90u /* the first line and the fields of a request or an answer */

typedef struct event {
  double at;
  uint64_t order;
  sim_fn fn;
  void *arg;
} event;

typedef struct process {
  uint32_t ip;
  bool alive;
  double still_until; /* its routines don't run, its clock does, what comes waits */
  GPtrArray *routines;
  /* With a share of a processor, its routines run one after the other as each is paid for. */
  double share;      /* 0: nothing costs time */
  double late_s;     /* its timers fire up to so much late */
  double busy_until; /* what has run so far takes until then */
  GQueue ready;      /* routines */
  double lag_s, lag_at;
  bool turn_due;
} process;

struct fc_routine {
  fcontext_t context;
  fc_routine_fn fn;
  void *arg;
  char *stack;
  process *process;
  fc_wake reason;
  uint64_t waits;  /* tells a timer of an earlier wait from the present one */
  double owed_s;   /* of a whole processor: for what it reads next */
  double deadline; /* of its present or last wait */
  bool parked, queued, finished, dead;
};

struct fc_waiter {
  fc_routine *routine;
  struct fc_waiter *next;
  bool signalled;
};

static double g_now;
static uint64_t g_order;
static GSequence *g_events;
static GRand *g_rand;
static GHashTable *g_processes; /* ip -> the newest process there */
static GHashTable *g_stubs;     /* ip -> stub */
static GHashTable *g_servers;   /* "ip:port" -> server */
static GHashTable *g_listeners;
static fcontext_t g_main;
static fc_routine *g_self;
static process *g_process; /* whose routine or handler runs */
static sim_link_fn g_links;
static double g_lose_request, g_lose_reply;
static double g_slow_until, g_slow_most;
static GPtrArray *g_spare;
static GHashTable *g_shares; /* ip -> share: outlives the process */
static GHashTable *g_loads;  /* ip -> sim_load: since the start of the simulation */
static sim_work_fn g_work;
static const sim_costs k_costs = {.wake_s = 20e-6, .message_s = 30e-6, .byte_s = 0.1e-6};

static gint by_time(gconstpointer a, gconstpointer b, gpointer data) {
  (void)data;
  const event *x = a, *y = b;
  if (x->at != y->at) return x->at < y->at ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

void sim_init(uint32_t seed) {
  g_now = 100;
  g_order = 0;
  g_events = g_sequence_new(g_free);
  g_rand = g_rand_new_with_seed(seed);
  g_random_set_seed(seed);
  g_processes = g_hash_table_new(NULL, NULL);
  g_stubs = g_hash_table_new(NULL, NULL);
  g_servers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  g_listeners = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  if (!g_spare) g_spare = g_ptr_array_new();
  g_shares = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  g_loads = g_hash_table_new_full(NULL, NULL, NULL, g_free);
  g_self = NULL;
  g_process = NULL;
  g_work = NULL;
  g_slow_until = 0;
}

double sim_now(void) {
  return g_now;
}
GRand *sim_rand(void) {
  return g_rand;
}
double sim_draw(double least, double most) {
  return g_rand_double_range(g_rand, least, most);
}
bool sim_chance(double p) {
  return g_rand_double(g_rand) < p;
}

void sim_slow_links(double until, double most_s) {
  g_slow_until = until;
  g_slow_most = most_s;
}

static double slowness(void) {
  return g_now < g_slow_until ? sim_draw(0, g_slow_most) : 0;
}

/* What is under way here is the simulation's own work, not that of the process. */
static unsigned g_own_work;

uint32_t sim_allocates(void) {
  return g_process && g_own_work == 0 ? g_process->ip : 0;
}

static void at(double t, sim_fn fn, void *arg) {
  g_own_work++;
  event *e = g_new(event, 1);
  *e = (event){.at = t, .order = g_order++, .fn = fn, .arg = arg};
  g_sequence_insert_sorted(g_events, e, by_time, NULL);
  g_own_work--;
}

void sim_after(double dt, sim_fn fn, void *arg) {
  at(g_now + dt, fn, arg);
}

void sim_run_until(double t) {
  while (!g_sequence_is_empty(g_events)) {
    GSequenceIter *first = g_sequence_get_begin_iter(g_events);
    event e = *(event *)g_sequence_get(first);
    if (e.at > t) break;
    g_sequence_remove(first);
    if (e.at > g_now) g_now = e.at;
    e.fn(e.arg);
  }
  g_now = t;
}

/* ---- what a process costs ---- */

typedef struct share {
  double of_processor, late_s;
} share;

static sim_load *load_of(uint32_t ip) {
  sim_load *l = g_hash_table_lookup(g_loads, GUINT_TO_POINTER(ip));
  if (!l) {
    g_own_work++;
    l = g_new0(sim_load, 1);
    g_hash_table_insert(g_loads, GUINT_TO_POINTER(ip), l);
    g_own_work--;
  }
  return l;
}

sim_load sim_load_of(uint32_t ip) {
  return *load_of(ip);
}

/* Of a whole processor. */
static double message_cost(size_t bytes) {
  return k_costs.message_s + k_costs.byte_s * (double)bytes;
}

static void charge(process *p, double cost_s) {
  if (!p || p->share <= 0) return;
  load_of(p->ip)->busy_s += cost_s;
  p->busy_until = MAX(p->busy_until, g_now) + cost_s / p->share;
}

/* What it sends leaves it once all before has been paid for. */
static double departs_in(const process *p) {
  return p && p->share > 0 ? MAX(0, p->busy_until - g_now) : 0;
}

static sim_traffic *traffic(uint32_t ip, uint32_t other, bool sent) {
  sim_load *l = load_of(ip);
  bool peer = other >> 16 == ip >> 16; /* the other controllers are in its network */
  bool worker = other >> 16 == (10u << 8 | 1);
  sim_way *w = peer ? &l->peers : worker ? &l->workers : &l->others;
  return sent ? &w->sent : &w->got;
}

static void count_message(uint32_t from, uint32_t to, size_t bytes) {
  sim_traffic *t[] = {traffic(from, to, true), traffic(to, from, false)};
  for (size_t i = 0; i < G_N_ELEMENTS(t); i++) {
    t[i]->messages++;
    t[i]->bytes += bytes;
  }
}

/* ---- routines ---- */

bool fc_loop_init(void) {
  return true;
}
struct ev_loop *fc_loop(void) {
  return NULL;
}
void fc_loop_run(void) {}
double fc_now(void) {
  /* Steady clocks run up to 0.05% fast, each at its own rate. */
  double drift = g_process ? 0.0005 * (g_process->ip % 7) / 6.0 : 0;
  return g_now * (1 + drift);
}

static double true_time(double local) {
  double drift = g_process ? 0.0005 * (g_process->ip % 7) / 6.0 : 0;
  return local / (1 + drift);
}

fc_routine *fc_routine_self(void) {
  return g_self;
}
bool fc_routine_cancelled(void) {
  return false;
}
size_t fc_routine_count(void) {
  return g_process ? g_process->routines->len : 0;
}
void fc_routine_cancel(fc_routine *r) {
  (void)r;
}
/* Nothing here takes time or makes system calls, so there is nothing to account for. */
void fc_routine_account(fc_usage *usage) {
  (void)usage;
}
fc_usage *fc_routine_usage(void) {
  static fc_usage unaccounted;
  return &unaccounted;
}
unsigned fc_loop_turns(void) {
  return 0;
}
/* As the real one: how late timers were, lately. */
static double lag_of(const process *p) {
  return p->lag_s * exp2((p->lag_at - g_now) / LAG_HALF_LIFE_S);
}

double fc_loop_lag(void) {
  return g_process ? lag_of(g_process) : 0;
}

static void note_lag(process *p, double late_s) {
  p->lag_s = MAX(late_s, lag_of(p));
  p->lag_at = g_now;
}

static void entry(transfer_t t) {
  g_main = t.fctx;
  fc_routine *r = t.data;
  r->fn(r->arg);
  r->finished = true;
  jump_fcontext(g_main, NULL);
  abort();
}

static void release(fc_routine *r) {
  g_ptr_array_remove_fast(r->process->routines, r);
  g_ptr_array_add(g_spare, r->stack);
  r->stack = NULL;
  r->dead = true; /* kept: events may still name it */
}

static void run(void *arg) {
  fc_routine *r = arg;
  if (!r->dead && r->process->still_until > g_now) {
    at(r->process->still_until, run, r);
    return;
  }
  r->queued = false;
  if (r->dead) return;
  if (r->waits > 0 && r->reason == FC_WAKE_TIMEOUT) note_lag(r->process, g_now - r->deadline);
  load_of(r->process->ip)->wakes++;
  charge(r->process, k_costs.wake_s);
  fc_routine *self_before = g_self;
  process *process_before = g_process;
  g_self = r;
  g_process = r->process;
  transfer_t t = jump_fcontext(r->context, r);
  r->context = t.fctx;
  if (g_work && r->process->share > 0) charge(r->process, g_work(r->process->ip));
  g_self = self_before;
  g_process = process_before;
  if (r->finished) release(r);
}

static void turn(void *arg);

static void next_turn(process *p) {
  if (p->turn_due || g_queue_is_empty(&p->ready)) return;
  p->turn_due = true;
  at(MAX(g_now, MAX(p->busy_until, p->still_until)), turn, p);
}

/* The first that is ready runs once all before it, and what it reads, has been paid for. */
static void turn(void *arg) {
  process *p = arg;
  p->turn_due = false;
  fc_routine *r = g_queue_peek_head(&p->ready);
  if (g_now >= p->busy_until && g_now >= p->still_until && p->alive && r) {
    charge(p, r->owed_s);
    r->owed_s = 0;
    if (p->busy_until <= g_now || r->dead) {
      (void)g_queue_pop_head(&p->ready);
      run(r);
    }
  }
  if (p->alive) next_turn(p);
}

static void enqueue(fc_routine *r) {
  if (r->queued) return;
  r->queued = true;
  if (r->process->share > 0) {
    g_queue_push_tail(&r->process->ready, r);
    next_turn(r->process);
  } else {
    at(g_now, run, r);
  }
}

static fc_routine *spawn_in(process *p, fc_routine_fn fn, void *arg) {
  g_own_work++;
  fc_routine *r = g_new0(fc_routine, 1);
  r->fn = fn;
  r->arg = arg;
  r->process = p;
  if (g_spare->len > 0) {
    r->stack = g_ptr_array_steal_index_fast(g_spare, g_spare->len - 1);
  } else {
    r->stack = mmap(NULL, STACK, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
    if (r->stack == MAP_FAILED) abort();
  }
  ASAN_UNPOISON_MEMORY_REGION(r->stack, STACK); /* frames of one that was killed */
  r->context = make_fcontext(r->stack + STACK, STACK, entry);
  g_ptr_array_add(p->routines, r);
  enqueue(r);
  g_own_work--;
  return r;
}

fc_routine *fc_routine_spawn(fc_routine_fn fn, void *arg) {
  return spawn_in(g_process, fn, arg);
}

typedef struct timer {
  fc_routine *routine;
  uint64_t wait;
} timer;

static void on_timer(void *arg) {
  timer *t = arg;
  fc_routine *r = t->routine;
  if (!r->dead && r->parked && r->waits == t->wait) {
    r->parked = false;
    r->reason = FC_WAKE_TIMEOUT;
    enqueue(r);
  }
  g_free(t);
}

fc_wake fc_routine_park(double deadline) {
  fc_routine *r = g_self;
  double when = true_time(deadline);
  if (when <= g_now) return FC_WAKE_TIMEOUT;
  r->parked = true;
  r->reason = FC_WAKE_OK;
  g_own_work++;
  timer *t = g_new(timer, 1);
  *t = (timer){.routine = r, .wait = ++r->waits};
  r->deadline = when;
  if (r->process->late_s > 0) when += sim_draw(0, r->process->late_s);
  at(when, on_timer, t);
  g_own_work--;
  transfer_t tr = jump_fcontext(g_main, NULL);
  g_main = tr.fctx;
  return r->reason;
}

void fc_routine_wake(fc_routine *r) {
  if (r->dead || !r->parked) return;
  r->parked = false;
  r->reason = FC_WAKE_OK;
  enqueue(r);
}

fc_wake fc_routine_sleep(double seconds) {
  double until = fc_now() + seconds;
  while (fc_now() < until - 1e-9)
    if (fc_routine_park(until) == FC_WAKE_TIMEOUT) break;
  return FC_WAKE_OK;
}

fc_wake fc_cond_wait(fc_cond *c, double deadline) {
  struct fc_waiter self = {.routine = g_self, .next = c->first};
  c->first = &self;
  for (;;) {
    fc_wake w = fc_routine_park(deadline);
    if (self.signalled) return FC_WAKE_OK;
    if (w == FC_WAKE_OK) continue;
    for (struct fc_waiter **p = &c->first; *p; p = &(*p)->next) {
      if (*p != &self) continue;
      *p = self.next;
      break;
    }
    return w;
  }
}

void fc_cond_broadcast(fc_cond *c) {
  struct fc_waiter *w = c->first;
  c->first = NULL;
  while (w) {
    struct fc_waiter *next = w->next;
    w->signalled = true;
    fc_routine_wake(w->routine);
    w = next;
  }
}

/* ---- processes ---- */

void sim_process_start(uint32_t ip, sim_fn fn, void *arg) {
  process *p = g_new0(process, 1);
  p->ip = ip;
  p->alive = true;
  p->routines = g_ptr_array_new();
  g_queue_init(&p->ready);
  const share *s = g_hash_table_lookup(g_shares, GUINT_TO_POINTER(ip));
  if (s) {
    p->share = s->of_processor;
    p->late_s = s->late_s;
  }
  g_hash_table_insert(g_processes, GUINT_TO_POINTER(ip), p);
  process *before = g_process;
  g_process = p;
  fn(arg);
  g_process = before;
}

void sim_process_kill(uint32_t ip) {
  process *p = g_hash_table_lookup(g_processes, GUINT_TO_POINTER(ip));
  if (!p || !p->alive) return;
  p->alive = false;
  while (p->routines->len > 0) release(p->routines->pdata[0]);
}

void sim_process_still(uint32_t ip, double for_s) {
  process *p = g_hash_table_lookup(g_processes, GUINT_TO_POINTER(ip));
  if (p) p->still_until = g_now + for_s;
}

/* From its next start on. */
void sim_process_share(uint32_t ip, double of_processor, double late_s) {
  share *s = g_new(share, 1);
  *s = (share){of_processor, late_s};
  g_hash_table_insert(g_shares, GUINT_TO_POINTER(ip), s);
}

size_t sim_process_routines(uint32_t ip) {
  const process *p = g_hash_table_lookup(g_processes, GUINT_TO_POINTER(ip));
  return p ? p->routines->len : 0;
}

uint32_t sim_here(void) {
  return g_process ? g_process->ip : 0;
}

bool sim_process_alive(uint32_t ip) {
  process *p = g_hash_table_lookup(g_processes, GUINT_TO_POINTER(ip));
  return p && p->alive;
}

/* ---- exchanges: one request and its answer ---- */

typedef struct server {
  fc_http_handler handler;
  void *arg;
  process *process;
} server;

typedef struct stub {
  sim_server_fn fn;
  void *arg;
} stub;

typedef struct sim_exchange {
  uint32_t from, to;
  uint16_t port;
  uint64_t connection; /* 0: one of its own */
  char *method, *path, *body;
  bool answered, given_up;
  int status;
  char *reply;
  int retry_after_s;
  fc_routine *waiter; /* a controller's call */
  sim_reply_fn fn;    /* a stand-in's call */
  void *fn_arg;
} sim_exchange;

static char *place_key(uint32_t ip, uint16_t port) {
  return g_strdup_printf("%u:%u", ip, port);
}

static int g_retry_after_s; /* of the reply that is being handed over */

int sim_retry_after(void) {
  return g_retry_after_s;
}

static void deliver_reply(void *arg) {
  sim_exchange *x = arg;
  if (x->given_up) return;
  x->answered = true;
  if (x->waiter) {
    x->waiter->owed_s += message_cost(strlen(x->reply));
    fc_routine_wake(x->waiter);
  } else if (x->fn) {
    sim_reply_fn fn = x->fn;
    x->fn = NULL;
    g_retry_after_s = x->retry_after_s;
    fn(x->status, x->reply, x->fn_arg);
    g_retry_after_s = 0;
  }
}

static void reply_when_clear(void *arg) {
  sim_exchange *x = arg;
  sim_link l = g_links ? g_links(x->to, x->from) : SIM_CLEAR;
  if (l == SIM_RESET) return;
  if (l == SIM_HELD) {
    sim_after(0.25, reply_when_clear, x);
    return;
  }
  deliver_reply(x);
}

void sim_answer(sim_exchange *x, int status, const char *body) {
  if (x->reply) return;
  x->status = status;
  g_own_work++;
  x->reply = g_strdup(body);
  g_own_work--;
  size_t bytes = strlen(x->reply) + HTTP_HEAD_BYTES;
  count_message(x->to, x->from, bytes);
  process *sender = g_process && g_process->ip == x->to ? g_process : NULL;
  charge(sender, message_cost(bytes));
  if (sim_chance(g_lose_reply)) return;
  sim_after(sim_draw(0.0003, 0.004) + slowness() + departs_in(sender), reply_when_clear, x);
}

static void handler_main(void *arg) {
  sim_exchange *x = arg;
  char *key = place_key(x->to, x->port);
  server *s = g_hash_table_lookup(g_servers, key);
  g_free(key);
  if (!s) return;
  char *path = g_strdup(x->path);
  char *query = strchr(path, '?');
  if (query) *query++ = '\0';
  fc_http_request req = {.method = x->method,
                         .path = path,
                         .query = query ? query : "",
                         .body = x->body,
                         .body_len = strlen(x->body),
                         .connection = x->connection};
  fc_http_response res = {.status = 500, .body = g_string_new(NULL)};
  s->handler(&req, &res, s->arg);
  x->retry_after_s = res.retry_after_s;
  sim_answer(x, res.status, res.body->str);
  g_string_free(res.body, TRUE);
  g_free(path);
}

static void deliver_request(void *arg) {
  sim_exchange *x = arg;
  sim_link l = g_links ? g_links(x->from, x->to) : SIM_CLEAR;
  if (l == SIM_RESET) return;
  if (l == SIM_HELD) {
    sim_after(0.25, deliver_request, x); /* delivered late, even when given up */
    return;
  }
  stub *st = g_hash_table_lookup(g_stubs, GUINT_TO_POINTER(x->to));
  if (st) {
    sim_request r = {.method = x->method, .path = x->path, .body = x->body, .exchange = x};
    st->fn(&r, st->arg);
    return;
  }
  char *key = place_key(x->to, x->port);
  server *s = g_hash_table_lookup(g_servers, key);
  g_free(key);
  if (s && s->process->alive) {
    count_message(x->from, x->to, strlen(x->path) + strlen(x->body) + HTTP_HEAD_BYTES);
    fc_routine *r = spawn_in(s->process, handler_main, x);
    r->owed_s = message_cost(strlen(x->path) + strlen(x->body) + HTTP_HEAD_BYTES);
  }
}

static sim_exchange *send_request(uint32_t from, uint32_t to, uint16_t port, const char *method, const char *path,
                                  const char *body, size_t len) {
  g_own_work++;
  sim_exchange *x = g_new0(sim_exchange, 1);
  x->from = from;
  x->to = to;
  x->port = port;
  x->method = g_strdup(method);
  x->path = g_strdup(path);
  x->body = body ? g_strndup(body, len) : g_strdup("");
  g_own_work--;
  process *sender = g_process && g_process->ip == from ? g_process : NULL;
  if (sender) {
    size_t bytes = strlen(path) + len + HTTP_HEAD_BYTES;
    count_message(from, to, bytes);
    charge(sender, message_cost(bytes));
  }
  if (!sim_chance(g_lose_request)) {
    /* Now and then slow, and now and then so late that the sender has given up
     * long ago: it is carried out all the same. */
    double k = g_lose_request > 0 ? sim_draw(0, 1) : 1; /* a good network */
    double delay = k < 0.006 ? sim_draw(1, 40) : k < 0.016 ? sim_draw(0.1, 0.5) : sim_draw(0.0003, 0.004);
    sim_after(delay + slowness() + departs_in(sender), deliver_request, x);
  }
  return x;
}

void sim_serve(uint32_t ip, sim_server_fn fn, void *arg) {
  stub *s = g_new(stub, 1);
  *s = (stub){fn, arg};
  g_hash_table_insert(g_stubs, GUINT_TO_POINTER(ip), s);
}

static void call_timeout(void *arg) {
  sim_exchange *x = arg;
  if (x->answered || x->given_up) return;
  x->given_up = true;
  sim_reply_fn fn = x->fn;
  x->fn = NULL;
  if (fn) fn(0, "", x->fn_arg);
}

uint64_t sim_connection(void) {
  static uint64_t last;
  return ++last;
}

void sim_call_on(uint64_t connection, uint32_t from, uint32_t to, const char *path, const char *body, double timeout,
                 sim_reply_fn fn, void *arg) {
  sim_exchange *x = send_request(from, to, 8080, "POST", path, body, strlen(body));
  x->connection = connection;
  x->fn = fn;
  x->fn_arg = arg;
  sim_after(timeout, call_timeout, x);
}

void sim_call(uint32_t from, uint32_t to, const char *method, const char *path, const char *body, double timeout,
              sim_reply_fn fn, void *arg) {
  sim_exchange *x = send_request(from, to, 8080, method, path, body, body ? strlen(body) : 0);
  x->fn = fn;
  x->fn_arg = arg;
  sim_after(timeout, call_timeout, x);
}

/* ---- http.h ---- */

struct fc_http_client {
  fc_endpoint to;
};

fc_http_client *fc_http_client_new(const fc_endpoint *to, size_t most_body) {
  (void)most_body;
  fc_http_client *c = g_new0(fc_http_client, 1);
  c->to = *to;
  return c;
}

void fc_http_client_free(fc_http_client *c) {
  g_free(c);
}

bool fc_http_call(fc_http_client *c, const char *method, const char *path, const char *body, size_t body_len,
                  double deadline, fc_http_reply *reply) {
  *reply = (fc_http_reply){.body = g_string_new(NULL)};
  uint32_t to = ntohl(c->to.ip);
  if (g_links && g_links(g_process->ip, to) != SIM_CLEAR && sim_chance(0.5)) {
    /* No connection: certainly not carried out. */
    while (fc_routine_park(deadline) == FC_WAKE_OK) {
    }
    reply->unsent = true;
    return false;
  }
  sim_exchange *x = send_request(g_process->ip, to, c->to.port, method, path, body, body_len);
  x->waiter = g_self;
  while (!x->answered)
    if (fc_routine_park(deadline) == FC_WAKE_TIMEOUT) break;
  x->waiter = NULL;
  if (!x->answered) {
    x->given_up = true;
    /* Where the request was lost nothing holds the exchange any more; none is freed. */
    return false;  // NOLINT(clang-analyzer-unix.Malloc): exchanges live as long as the scene
  }
  reply->status = x->status;
  reply->retry_after_s = x->retry_after_s;
  g_string_assign(reply->body, x->reply);
  return true;
}

void fc_http_reply_clear(fc_http_reply *reply) {
  if (reply->body) g_string_free(reply->body, TRUE);
  reply->body = NULL;
}

bool fc_http_serve(const fc_endpoint *where, const fc_http_server_options *opt, fc_http_handler handler, void *arg) {
  (void)opt;
  server *s = g_new0(server, 1);
  *s = (server){.handler = handler, .arg = arg, .process = g_process};
  g_hash_table_replace(g_servers, place_key(ntohl(where->ip), where->port), s);
  return true;
}

void fc_http_serve_conn(fc_conn *c, const char *first, size_t first_len, const fc_http_server_options *opt,
                        fc_http_handler handler, void *arg) {
  (void)c, (void)first, (void)first_len, (void)opt, (void)handler, (void)arg; /* nobody asks here */
}

/* ---- conn.h: streams between controllers ---- */

struct fc_conn {
  uint32_t local, remote;
  struct fc_conn *other; /* NULL: closed or reset there */
  GByteArray *inbox;
  GQueue arriving;
  fc_routine *waiter;
  process *process;
  bool closed;
  double clear_at; /* what is sent later arrives later */
  double unpaid_s; /* for what has come and nobody has read yet */
};

typedef struct listener {
  fc_conn_fn fn;
  void *arg;
  process *process;
} listener;

bool fc_endpoint_parse(const char *text, fc_endpoint *out) {
  const char *colon = strrchr(text, ':');
  if (!colon) return false;
  char *host = g_strndup(text, (gsize)(colon - text));
  struct in_addr ip;
  bool ok = inet_pton(AF_INET, host, &ip) == 1;
  g_free(host);
  out->ip = ip.s_addr;
  out->port = (uint16_t)atoi(colon + 1);
  return ok;
}

static fc_conn *conn_new(process *p, uint32_t local, uint32_t remote) {
  g_own_work++;
  fc_conn *c = g_new0(fc_conn, 1);
  c->process = p;
  c->local = local;
  c->remote = remote;
  c->inbox = g_byte_array_new();
  g_queue_init(&c->arriving);
  g_own_work--;
  return c;
}

typedef struct accepted {
  listener *l;
  fc_conn *conn;
} accepted;

static void accepted_main(void *arg) {
  accepted a = *(accepted *)arg;
  g_free(arg);
  a.l->fn(a.conn, a.l->arg);
  fc_conn_close(a.conn);
}

fc_conn *fc_conn_connect(const fc_endpoint *to, double deadline) {
  uint32_t ip = ntohl(to->ip);
  char *key = place_key(ip, to->port);
  listener *l = g_hash_table_lookup(g_listeners, key);
  g_free(key);
  (void)fc_routine_sleep(0.001);
  if (!l || !l->process->alive || (g_links && g_links(g_process->ip, ip) != SIM_CLEAR)) {
    while (fc_routine_park(deadline) == FC_WAKE_OK) {
    }
    return NULL;
  }
  fc_conn *mine = conn_new(g_process, g_process->ip, ip);
  fc_conn *theirs = conn_new(l->process, ip, g_process->ip);
  mine->other = theirs;
  theirs->other = mine;
  accepted *a = g_new(accepted, 1);
  *a = (accepted){l, theirs};
  (void)spawn_in(l->process, accepted_main, a);
  return mine;
}

typedef struct segment {
  GByteArray *data;
  double when;
  bool end;
} segment;

static void pay_by(fc_conn *c, fc_routine *r) {
  r->owed_s += c->unpaid_s;
  c->unpaid_s = 0;
}

/* Delivers in order what may arrive by now. */
static void pump(void *arg) {
  fc_conn *c = arg;
  segment *s;
  while ((s = g_queue_peek_head(&c->arriving)) && s->when <= g_now) {
    sim_link l = g_links ? g_links(c->remote, c->local) : SIM_CLEAR;
    if (l == SIM_HELD) {
      sim_after(0.25, pump, c);
      return;
    }
    (void)g_queue_pop_head(&c->arriving);
    if (!c->closed && c->process->alive) {
      if (s->end || l == SIM_RESET) c->other = NULL;
      if (!s->end && l == SIM_CLEAR) g_byte_array_append(c->inbox, s->data->data, s->data->len);
      c->unpaid_s += message_cost(s->data->len);
      if (c->waiter) pay_by(c, c->waiter);
      if (c->waiter) fc_routine_wake(c->waiter);
    }
    g_byte_array_free(s->data, TRUE);
    g_free(s);
  }
}

static void send_segment(fc_conn *from, const void *buf, size_t n, bool end) {
  if (!from->other) return;
  g_own_work++;
  segment *s = g_new0(segment, 1);
  s->end = end;
  s->data = g_byte_array_new();
  g_byte_array_append(s->data, buf, (guint)n);
  count_message(from->local, from->remote, n);
  charge(from->process, message_cost(n));
  double leaves = g_now + departs_in(from->process);
  s->when = from->clear_at = MAX(leaves + sim_draw(0.0003, 0.003) + slowness(), from->clear_at);
  g_queue_push_tail(&from->other->arriving, s);
  at(s->when, pump, from->other);
  g_own_work--;
}

ssize_t fc_conn_read(fc_conn *c, void *buf, size_t size, double deadline) {
  while (c->inbox->len == 0) {
    if (!c->other || !c->other->process->alive) return c->other ? -1 : 0;
    c->waiter = g_self;
    fc_wake w = fc_routine_park(deadline);
    c->waiter = NULL;
    if (w != FC_WAKE_OK) return -1;
  }
  charge(c->process, c->unpaid_s);
  c->unpaid_s = 0;
  size_t n = MIN(size, c->inbox->len);
  memcpy(buf, c->inbox->data, n);
  g_byte_array_remove_range(c->inbox, 0, (guint)n);
  return (ssize_t)n;
}

bool fc_conn_write(fc_conn *c, const void *buf, size_t size, double deadline) {
  (void)deadline;
  if (!c->other) return false;
  send_segment(c, buf, size, false);
  return true;
}

bool fc_conn_stale(fc_conn *c) {
  return !c->other;
}

void fc_conn_close(fc_conn *c) {
  if (!c || c->closed) return;
  send_segment(c, "", 0, true);
  c->closed = true;
}

bool fc_listen(const fc_endpoint *where, size_t most, fc_conn_fn on_conn, void *arg) {
  (void)most;
  listener *l = g_new0(listener, 1);
  *l = (listener){.fn = on_conn, .arg = arg, .process = g_process};
  g_hash_table_replace(g_listeners, place_key(ntohl(where->ip), where->port), l);
  return true;
}

void sim_set_work(sim_work_fn fn) {
  g_work = fn;
}

void sim_set_links(sim_link_fn fn, double lose_request, double lose_reply) {
  g_links = fn;
  g_lose_request = lose_request;
  g_lose_reply = lose_reply;
}

/* Peer frames: round trips, and rejection of truncated, overlong and oversized frames. */
#include "check.h"

#include "protocol/peer_frame.h"

static void views_round_trip(void **state) {
  (void)state;
  fc_frame_task task = {.job = "job-000412", .index = 3, .attempt = 7, .state = FC_TASK_RUNNING};
  fc_frame_machine machine = {.id = "vm-1", .reconciled = true, .tasks = &task, .task_count = 1};
  fc_frame_cancellation cancellations[] = {{"job-000411", 77, 1500}, {"job-000410", 78, 0}};
  fc_view view = {.sender = "paddock-1",
                  .incarnation = 5,
                  .term = 9,
                  .sequence = 11,
                  .revision = 76,
                  .cancellations = cancellations,
                  .cancellation_count = 2,
                  .machines = &machine,
                  .machine_count = 1};
  GByteArray *bytes = g_byte_array_new();
  fc_view_encode(bytes, &view);
  fc_frame_type type;
  uint32_t len;
  assert_true(fc_frame_head_decode(bytes->data, &type, &len));
  assert_int_equal(len, bytes->len - FC_FRAME_HEAD_BYTES);
  fc_view decoded;
  assert_true(fc_view_decode(bytes->data + FC_FRAME_HEAD_BYTES, len, &decoded));
  assert_string_equal(decoded.machines[0].tasks[0].job, "job-000412");
  assert_true(decoded.machines[0].reconciled && !decoded.machines[0].cordoned && decoded.term == 9);
  assert_int_equal(decoded.revision, 76);
  assert_int_equal(decoded.cancellation_count, 2);
  assert_string_equal(decoded.cancellations[1].job, "job-000410");
  assert_true(decoded.cancellations[0].revision == 77 && decoded.cancellations[0].age_ms == 1500);
  fc_view_clear(&decoded);
  /* A body of the maximum size is accepted, one byte more is not. */
  uint8_t head[FC_FRAME_HEAD_BYTES];
  memcpy(head, bytes->data, sizeof head);
  for (int excess = -1; excess <= 1; excess++) {
    guint32 big_endian = GUINT32_TO_BE(FC_FRAME_BODY_MAX_BYTES + (guint32)excess);
    uint32_t body_length;
    memcpy(head + 4, &big_endian, sizeof big_endian);
    assert_int_equal(fc_frame_head_decode(head, &type, &body_length), excess <= 0);
  }
  /* Every truncated body is rejected, and so is one with a byte too many. */
  for (uint32_t truncated_length = 0; truncated_length < len; truncated_length++) {
    uint8_t *copy = g_memdup2(bytes->data + FC_FRAME_HEAD_BYTES, truncated_length ? truncated_length : 1);
    assert_false(fc_view_decode(copy, truncated_length, &decoded));
    g_free(copy);
  }
  g_byte_array_append(bytes, (const guint8 *)"x", 1);
  assert_false(fc_view_decode(bytes->data + FC_FRAME_HEAD_BYTES, len + 1, &decoded));
  bytes->data[2] = FC_FRAME_VERSION + 1;
  assert_false(fc_frame_head_decode(bytes->data, &type, &len));
  g_byte_array_free(bytes, TRUE);
}

/* Also rejects bodies truncated within the first 200 bytes, bodies with a byte too many, and lists of more than
 * FC_FRAME_CANCELLATIONS_MAX cancellations. */
static void acknowledgements_round_trip(void **state) {
  (void)state;
  fc_frame_cancellation *cancellations = g_new0(fc_frame_cancellation, FC_FRAME_CANCELLATIONS_MAX + 1);
  for (size_t i = 0; i <= FC_FRAME_CANCELLATIONS_MAX; i++)
    g_snprintf(cancellations[i].job, sizeof cancellations[i].job, "j%zu", i);
  fc_frame_lease_renewal renewal = {.machine = "vm-1", .age_ms = 5, .bidirectional = true, .epoch = 2, .sequence = 9};
  fc_frame_probe probes[] = {{"vm-2", 7, true}, {"vm-3", 1500, false}};
  static const struct {
    const char *name;
    size_t cancellation_count;
    bool valid;
  } rows[] = {{"none", 0, true},
              {"two", 2, true},
              {"at the bound", FC_FRAME_CANCELLATIONS_MAX, true},
              {"over it", FC_FRAME_CANCELLATIONS_MAX + 1, false}};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_ack ack = {.sender = "paddock-1",
                  .incarnation = 5,
                  .term = 9,
                  .sequence = 11,
                  .applied = true,
                  .cancellations_complete = true};
    ack.revision = 80;
    ack.cancellations = cancellations;
    ack.cancellation_count = rows[i].cancellation_count;
    ack.renewals = &renewal;
    ack.renewal_count = 1;
    ack.probes = probes;
    ack.probe_count = G_N_ELEMENTS(probes);
    GByteArray *bytes = g_byte_array_new();
    fc_ack_encode(bytes, &ack);
    const uint8_t *body = bytes->data + FC_FRAME_HEAD_BYTES;
    uint32_t len = bytes->len - FC_FRAME_HEAD_BYTES;
    fc_ack decoded;
    check_row(rows[i].name, fc_ack_decode(body, len, &decoded) == rows[i].valid);
    if (rows[i].valid) {
      check_row(rows[i].name, decoded.cancellations_complete && decoded.revision == 80 &&
                                  decoded.cancellation_count == rows[i].cancellation_count);
      check_row(rows[i].name, decoded.renewal_count == 1 && strcmp(decoded.renewals[0].machine, "vm-1") == 0);
      check_row(rows[i].name, decoded.probe_count == 2 && strcmp(decoded.probes[1].machine, "vm-3") == 0);
      check_row(rows[i].name, decoded.probes[0].answered && decoded.probes[0].age_ms == 7);
      check_row(rows[i].name, !decoded.probes[1].answered && decoded.probes[1].age_ms == 1500);
      fc_ack_clear(&decoded);
    }
    for (uint32_t truncated_length = 0; truncated_length < MIN(len, 200); truncated_length++) {
      uint8_t *copy = g_memdup2(body, truncated_length ? truncated_length : 1);
      check_row(rows[i].name, !fc_ack_decode(copy, truncated_length, &decoded));
      g_free(copy);
    }
    g_byte_array_append(bytes, (const guint8 *)"x", 1);
    check_row(rows[i].name, !fc_ack_decode(bytes->data + FC_FRAME_HEAD_BYTES, len + 1, &decoded));
    g_byte_array_free(bytes, TRUE);
  }
  g_free(cancellations);
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(views_round_trip),
      cmocka_unit_test(acknowledgements_round_trip),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}

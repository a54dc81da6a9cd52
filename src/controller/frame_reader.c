#include "controller/frame_reader.h"

#include <glib.h>
#include <string.h>

size_t fc_frame_reader_take_buffered(fc_frame_reader *reader, uint8_t *out, size_t size) {
  size = MIN(size, reader->end - reader->begin);
  memcpy(out, reader->bytes + reader->begin, size);
  reader->begin += size;
  return size;
}

/* Reads exactly `size` bytes. False at the end of the stream, on an error or at the deadline. */
static bool read_exact(fc_frame_reader *reader, uint8_t *out, size_t size, double deadline) {
  size_t done = fc_frame_reader_take_buffered(reader, out, size);
  while (done < size) {
    /* The bulk of a large frame is read into `out` directly, the rest through the buffer. */
    bool direct = size - done >= sizeof reader->bytes;
    ssize_t received = direct ? fc_conn_read(reader->conn, out + done, size - done, deadline)
                              : fc_conn_read(reader->conn, reader->bytes, sizeof reader->bytes, deadline);
    if (received <= 0) return false;
    if (direct) {
      done += (size_t)received;
      continue;
    }
    reader->begin = 0;
    reader->end = (size_t)received;
    done += fc_frame_reader_take_buffered(reader, out + done, size - done);
  }
  return true;
}

fc_frame fc_frame_reader_next(fc_frame_reader *reader, double deadline) {
  fc_frame frame = {0};
  if (!read_exact(reader, frame.head, FC_FRAME_HEAD_BYTES, deadline)) return frame;
  if (!fc_frame_head_decode(frame.head, &frame.type, &frame.length)) return frame;
  uint8_t *body = g_malloc(frame.length + 1);
  if (read_exact(reader, body, frame.length, deadline)) {
    frame.body = body;
  } else {
    g_free(body);
  }
  return frame;
}

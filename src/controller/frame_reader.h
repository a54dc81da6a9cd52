/* Buffered reader for the frames of a peer link. The buffer lets most frames be read with one system
 * call for head and body; bytes beyond the requested frame stay buffered. */
#ifndef FC_CONTROLLER_FRAME_READER_H
#define FC_CONTROLLER_FRAME_READER_H

#include <stddef.h>
#include <stdint.h>

#include "protocol/peer_frame.h"
#include "transport/conn.h"

#define FC_FRAME_READER_BUFFER_BYTES 2048u

/* All zero is a reader without a connection. */
typedef struct fc_frame_reader {
  fc_conn *conn;     /* not owned */
  size_t begin, end; /* of the buffered bytes */
  uint8_t bytes[FC_FRAME_READER_BUFFER_BYTES];
} fc_frame_reader;

typedef struct fc_frame {
  fc_frame_type type;
  uint8_t head[FC_FRAME_HEAD_BYTES]; /* as read, even if it is not a valid head */
  uint8_t *body;                     /* owned by the caller (g_free()); NULL: no frame could be read */
  uint32_t length;                   /* of the body, in bytes */
} fc_frame;

/* Reads one frame. May suspend the calling routine, until the deadline (monotonic time) at most. */
fc_frame fc_frame_reader_next(fc_frame_reader *reader, double deadline);
/* Moves up to `size` buffered bytes to `out`, and returns their number. */
size_t fc_frame_reader_take_buffered(fc_frame_reader *reader, uint8_t *out, size_t size);

#endif

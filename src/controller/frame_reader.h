/* Reads the frames of a peer link from a connection. Head and body of most frames come in one
 * system call: what has been read beyond the frame that was asked for stays buffered. */
#ifndef FC_CONTROLLER_FRAME_READER_H
#define FC_CONTROLLER_FRAME_READER_H

#include <stddef.h>
#include <stdint.h>

#include "protocol/peer_frame.h"
#include "transport/conn.h"

#define FC_FRAME_READER_BUFFER 2048u

/* Zeroed, it is a reader without a connection. */
typedef struct fc_frame_reader {
  fc_conn *conn; /* not owned */
  size_t begin, end;
  uint8_t bytes[FC_FRAME_READER_BUFFER];
} fc_frame_reader;

typedef struct fc_frame {
  fc_frame_type type;
  uint8_t head[FC_FRAME_HEAD_BYTES]; /* as read, also when it is not a frame's */
  uint8_t *body;                     /* the caller's to free; NULL: no frame could be read */
  uint32_t length;                   /* of the body, in bytes */
} fc_frame;

/* Reads one frame. Suspends the calling routine until the deadline (steady time) at the most. */
fc_frame fc_frame_reader_next(fc_frame_reader *reader, double deadline);
/* Moves up to `size` buffered bytes to `out`; returns how many. */
size_t fc_frame_reader_take_buffered(fc_frame_reader *reader, uint8_t *out, size_t size);

#endif

package io.dragonflyturn.internal.log;

import io.dragonflyturn.internal.protocol.MessagePackCodec;
import io.dragonflyturn.internal.state.Envelope;
import java.util.List;

/**
 * The envelopes of one append, which form the content of one log batch.
 *
 * @param envelopes the envelopes, in order of their sequence numbers
 */
record EnvelopeBatch(List<Envelope> envelopes) {
  EnvelopeBatch {
    envelopes = List.copyOf(envelopes);
  }

  byte[] encode() {
    return MessagePackCodec.encode(this);
  }

  static EnvelopeBatch decode(byte[] content) {
    return MessagePackCodec.decode(content, EnvelopeBatch.class);
  }
}

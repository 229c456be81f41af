package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.workload.WorkloadCodec;

/**
 * The stored record of a leadership.
 *
 * @param term the term of the leadership, which is also the fencing token of its orders
 * @param instance the name of the leader instance
 * @param released whether the leader has released the leadership
 */
public record LeadershipRecord(long term, String instance, boolean released) {
  /** The record before the first leadership. */
  public static final LeadershipRecord NONE = new LeadershipRecord(0, "", true);

  byte[] encode() {
    return WorkloadCodec.pack(
        packer -> {
          packer.packLong(term);
          packer.packString(instance);
          packer.packBoolean(released);
        });
  }

  static LeadershipRecord decode(byte[] stored) {
    return WorkloadCodec.unpack(
        stored,
        unpacker ->
            new LeadershipRecord(
                unpacker.unpackLong(), unpacker.unpackString(), unpacker.unpackBoolean()));
  }
}

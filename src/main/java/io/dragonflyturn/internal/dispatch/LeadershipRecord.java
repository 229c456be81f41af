package io.dragonflyturn.internal.dispatch;

import io.dragonflyturn.internal.workload.WorkloadCodec;

/**
 * Who leads, as it is stored.
 *
 * @param term the number of the leadership, which is also the fencing token of its orders
 * @param instance the leading instance
 * @param released whether the leader has given the role up
 */
public record LeadershipRecord(long term, String instance, boolean released) {
  /** The state before the first leader. */
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

package io.dragonflyturn.internal.state;

/**
 * The last accepted snapshot claim: which replica writes the snapshot, and at which offset.
 *
 * @param taker the incarnation of the replica that writes the snapshot; empty if there is none
 * @param offset the offset that the snapshot covers; -1 if there is none
 * @param atMillis the timestamp of the claim, in milliseconds since the epoch
 */
public record SnapshotClaim(String taker, long offset, long atMillis) {
  /** The value before the first claim. */
  public static final SnapshotClaim NONE = new SnapshotClaim("", -1, 0);
}

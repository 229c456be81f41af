package io.dragonflyturn.internal.log;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/** The content of one batch of the snapshot stream. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = SnapshotEntry.Chunk.class, name = "chunk"),
  @JsonSubTypes.Type(value = SnapshotEntry.Commit.class, name = "commit")
})
sealed interface SnapshotEntry {
  /**
   * A part of a snapshot.
   *
   * @param taker the incarnation of the replica that writes the snapshot
   * @param offset the offset of the control stream that the snapshot covers
   * @param content the encoded bytes
   */
  @SuppressWarnings("ArrayRecordComponent")
  record Chunk(String taker, long offset, byte[] content) implements SnapshotEntry {}

  /**
   * Marks a snapshot as complete.
   *
   * @param taker the incarnation of the replica that wrote the snapshot
   * @param offset the offset of the control stream that the snapshot covers
   * @param checksum the CRC-32C checksum of the whole snapshot
   * @param chunks the offsets of its chunks in the snapshot stream, in order
   */
  record Commit(String taker, long offset, long checksum, List<Long> chunks)
      implements SnapshotEntry {
    /** Creates an instance with an immutable copy of the offsets. */
    public Commit {
      chunks = List.copyOf(chunks);
    }
  }
}

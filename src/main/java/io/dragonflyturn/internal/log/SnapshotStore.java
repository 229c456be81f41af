package io.dragonflyturn.internal.log;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.internal.protocol.MessagePackCodec;
import io.dragonflyturn.internal.state.StateSnapshot;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.zip.CRC32C;
import org.jspecify.annotations.Nullable;

/** Writes snapshots in chunks to the snapshot stream, and loads the newest complete one. */
final class SnapshotStore {
  /** An offset that no stream reaches; a read there returns only the bounds of the stream. */
  private static final long BEYOND_END_OFFSET = Long.MAX_VALUE / 2;

  private static final int MAX_ATTEMPTS = 5;

  private final PlatformLog log;
  private final FailoverLogReader logReader;
  private final SnapshotSettings settings;
  private final Duration appendTimeout;

  SnapshotStore(
      PlatformLog log,
      FailoverLogReader logReader,
      SnapshotSettings settings,
      Duration appendTimeout) {
    this.log = log;
    this.logReader = logReader;
    this.settings = settings;
    this.appendTimeout = appendTimeout;
  }

  /**
   * Writes a snapshot.
   *
   * @return the size of the snapshot in bytes
   * @throws LogException if an append fails; the chunks already written have no commit and are
   *     ignored by readers
   */
  int write(String taker, StateSnapshot snapshot) {
    byte[] content = snapshot.encode();
    List<Long> chunks = new ArrayList<>();
    for (int from = 0; from < content.length; from += settings.chunkBytes()) {
      int to = Math.min(content.length, from + settings.chunkBytes());
      byte[] part = Arrays.copyOfRange(content, from, to);
      chunks.add(append(new SnapshotEntry.Chunk(taker, snapshot.offset(), part)));
    }
    append(new SnapshotEntry.Commit(taker, snapshot.offset(), checksum(content), chunks));
    return content.length;
  }

  /**
   * Appends an entry and retries on failure, which is safe because duplicate entries are harmless.
   */
  private long append(SnapshotEntry entry) {
    byte[] batch = MessagePackCodec.encode(entry);
    for (int attempt = 1; ; attempt++) {
      try {
        return log.append(PlatformLog.SNAPSHOT_STREAM, batch, appendTimeout);
      } catch (LogException failure) {
        if (attempt == MAX_ATTEMPTS || Thread.currentThread().isInterrupted()) {
          throw failure;
        }
      }
    }
  }

  /**
   * Returns the newest complete snapshot; empty if there is none.
   *
   * @throws LogException if the log does not answer
   */
  Optional<StateSnapshot> newest() {
    LogSlice streamBounds =
        logReader.read(PlatformLog.SNAPSHOT_STREAM, BEYOND_END_OFFSET, Duration.ZERO).slice();
    long searchedFrom = streamBounds.end();
    long step = 1;
    while (searchedFrom > streamBounds.firstAvailable()) {
      long from = Math.max(streamBounds.firstAvailable(), streamBounds.end() - step);
      for (SnapshotEntry.Commit commit : findCommits(from, searchedFrom).reversed()) {
        Optional<StateSnapshot> snapshot = load(commit);
        if (snapshot.isPresent()) {
          return snapshot;
        }
      }
      searchedFrom = from;
      step *= 2;
    }
    return Optional.empty();
  }

  private List<SnapshotEntry.Commit> findCommits(long fromOffset, long beforeOffset) {
    List<SnapshotEntry.Commit> commits = new ArrayList<>();
    for (LogSlice.Batch batch : read(fromOffset, beforeOffset)) {
      if (decode(batch) instanceof SnapshotEntry.Commit commit) {
        commits.add(commit);
      }
    }
    return commits;
  }

  private Optional<StateSnapshot> load(SnapshotEntry.Commit commit) {
    if (commit.chunks().isEmpty()) {
      return Optional.empty();
    }
    Set<Long> chunkOffsets = new HashSet<>(commit.chunks());
    Map<Long, byte[]> chunksByOffset = new HashMap<>();
    for (LogSlice.Batch batch : read(commit.chunks().getFirst(), commit.chunks().getLast() + 1)) {
      if (chunkOffsets.contains(batch.offset())
          && decode(batch) instanceof SnapshotEntry.Chunk chunk) {
        chunksByOffset.put(batch.offset(), chunk.content());
      }
    }
    if (chunksByOffset.size() < chunkOffsets.size()) {
      return Optional.empty();
    }
    ByteArrayOutputStream content = new ByteArrayOutputStream();
    commit.chunks().forEach(offset -> content.writeBytes(chunksByOffset.get(offset)));
    return decodeVerified(content.toByteArray(), commit);
  }

  private static Optional<StateSnapshot> decodeVerified(
      byte[] content, SnapshotEntry.Commit commit) {
    if (checksum(content) != commit.checksum()) {
      return Optional.empty();
    }
    try {
      return Optional.of(StateSnapshot.decode(content));
    } catch (DragonflyturnException unreadable) {
      return Optional.empty();
    }
  }

  private List<LogSlice.Batch> read(long fromOffset, long beforeOffset) {
    List<LogSlice.Batch> batches = new ArrayList<>();
    long nextOffset = fromOffset;
    while (nextOffset < beforeOffset) {
      LogSlice slice =
          logReader.read(PlatformLog.SNAPSHOT_STREAM, nextOffset, Duration.ZERO).slice();
      if (slice.batches().isEmpty()) {
        return batches;
      }
      for (LogSlice.Batch batch : slice.batches()) {
        if (batch.offset() < beforeOffset) {
          batches.add(batch);
        }
      }
      nextOffset = slice.batches().getLast().offset() + 1;
    }
    return batches;
  }

  private static @Nullable SnapshotEntry decode(LogSlice.Batch batch) {
    try {
      return MessagePackCodec.decode(batch.content(), SnapshotEntry.class);
    } catch (DragonflyturnException unreadable) {
      return null;
    }
  }

  private static long checksum(byte[] content) {
    CRC32C checksum = new CRC32C();
    checksum.update(content);
    return checksum.getValue();
  }
}

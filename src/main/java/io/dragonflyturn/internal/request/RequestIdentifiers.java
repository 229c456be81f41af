package io.dragonflyturn.internal.request;

import io.dragonflyturn.DragonflyturnException;
import io.dragonflyturn.ResultCode;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Issues request identifiers in blocks and tracks which of them have been used.
 *
 * <p>An identifier contains the incarnation that issued it; only this incarnation may send the
 * request. A block is retained for twice its lifetime: in the first half its identifiers may be
 * used for the first time; in the second half, an identifier that was not used is still known to be
 * unused.
 */
public final class RequestIdentifiers {
  private static final char SEPARATOR = '.';
  private static final int RADIX = Character.MAX_RADIX;
  private static final int RETENTION_LIFETIMES = 2;

  private final String incarnation;
  private final InstantSource monotonic;
  private final Duration lifetime;
  private final int blockLimit;
  private final int blockSize;
  private final Map<Long, Block> blocks = new LinkedHashMap<>();
  private long nextBlock;

  RequestIdentifiers(String incarnation, InstantSource monotonic, RequestSettings settings) {
    this.incarnation = incarnation;
    this.monotonic = monotonic;
    this.lifetime = settings.identifierLifetime();
    this.blockLimit = settings.identifierBlockLimit();
    this.blockSize = settings.identifierBlockSize();
  }

  /**
   * Issues identifiers to a customer.
   *
   * @param customer the customer that may use the identifiers
   * @param count the number of identifiers
   * @throws DragonflyturnException with {@link ResultCode#MALFORMED_INPUT} if the count is out of
   *     range, or {@link ResultCode#OVERLOADED} if too many blocks are retained
   */
  public synchronized List<String> issue(String customer, int count) {
    if (count < 1 || count > blockSize) {
      throw new DragonflyturnException(
          ResultCode.MALFORMED_INPUT, "The count must be between 1 and " + blockSize + ".");
    }
    evictOldBlocks();
    if (blocks.size() >= blockLimit) {
      throw new DragonflyturnException(
          ResultCode.OVERLOADED, "Too many identifiers are in use; try again later.");
    }
    long block = nextBlock++;
    blocks.put(block, new Block(customer, count, monotonic.instant(), new BitSet(count)));
    List<String> identifiers = new ArrayList<>(count);
    for (int index = 0; index < count; index++) {
      identifiers.add(format(block, index));
    }
    return identifiers;
  }

  /** Parses an issued identifier. Returns empty if the text is not one. */
  static Optional<IssuedIdentifier> parse(String identifier) {
    int indexStart = identifier.lastIndexOf(SEPARATOR);
    int blockStart = indexStart < 1 ? -1 : identifier.lastIndexOf(SEPARATOR, indexStart - 1);
    if (blockStart < 1) {
      return Optional.empty();
    }
    try {
      long block = Long.parseLong(identifier.substring(blockStart + 1, indexStart), RADIX);
      int index = Integer.parseInt(identifier.substring(indexStart + 1), RADIX);
      String issuer = identifier.substring(0, blockStart);
      return block < 0 || index < 0
          ? Optional.empty()
          : Optional.of(new IssuedIdentifier(issuer, block, index));
    } catch (NumberFormatException malformed) {
      return Optional.empty();
    }
  }

  /** Marks an identifier of this incarnation as used, if it may be used now. */
  synchronized IdentifierUse markUsed(String customer, IssuedIdentifier identifier) {
    if (identifier.block() >= nextBlock) {
      return IdentifierUse.NOT_ISSUED;
    }
    Block block = blocks.get(identifier.block());
    if (block == null) {
      return IdentifierUse.EVICTED;
    }
    if (!block.customer().equals(customer) || identifier.index() >= block.count()) {
      return IdentifierUse.NOT_ISSUED;
    }
    if (block.used().get(identifier.index())) {
      return IdentifierUse.ALREADY_USED;
    }
    if (age(block).compareTo(lifetime) > 0) {
      return IdentifierUse.EXPIRED;
    }
    block.used().set(identifier.index());
    return IdentifierUse.FIRST_USE;
  }

  /** Returns whether it is certain that nothing was sent for an identifier of this incarnation. */
  synchronized boolean isUnused(IssuedIdentifier identifier) {
    Block block = blocks.get(identifier.block());
    return identifier.block() >= nextBlock
        || (block != null && !block.used().get(identifier.index()));
  }

  /** Reverts {@link #markUsed} after nothing was sent for the identifier. */
  synchronized void markUnused(IssuedIdentifier identifier) {
    Block block = blocks.get(identifier.block());
    if (block != null) {
      block.used().clear(identifier.index());
    }
  }

  private String format(long block, int index) {
    return incarnation
        + SEPARATOR
        + Long.toString(block, RADIX)
        + SEPARATOR
        + Integer.toString(index, RADIX);
  }

  private Duration age(Block block) {
    return Duration.between(block.issuedAt(), monotonic.instant());
  }

  private void evictOldBlocks() {
    Iterator<Block> oldestFirst = blocks.values().iterator();
    while (oldestFirst.hasNext()
        && age(oldestFirst.next()).compareTo(lifetime.multipliedBy(RETENTION_LIFETIMES)) > 0) {
      oldestFirst.remove();
    }
  }

  /**
   * The components of an issued identifier.
   *
   * @param issuer the incarnation that issued it
   * @param block the number of the block, unique within the issuer
   * @param index the index within the block
   */
  record IssuedIdentifier(String issuer, long block, int index) {}

  /** The state of an identifier as its issuer knows it. */
  enum IdentifierUse {
    /** Not used before; now marked as used. */
    FIRST_USE,
    /** Used before. */
    ALREADY_USED,
    /** Never used, and too old to be used for the first time. */
    EXPIRED,
    /** So old that its block is no longer retained; whether it was used is unknown. */
    EVICTED,
    /** Not issued to this customer. */
    NOT_ISSUED
  }

  private record Block(String customer, int count, Instant issuedAt, BitSet used) {}
}

package io.dragonflyturn.internal.placement;

import java.util.Arrays;

/**
 * Finds blocks of adjacent accelerators in the free mask of one worker. Results are cached, because
 * few distinct masks occur and each occurs often.
 *
 * <p>A mask is searched in chunks of 16 accelerators, and a block never crosses a chunk boundary.
 */
final class BlockTable {
  private static final int CHUNK_BITS = 16;
  private static final int CHUNK_MASK = (1 << CHUNK_BITS) - 1;
  private static final byte NOT_COMPUTED = -2;
  private static final byte NO_FIT = -1;

  private final byte[][] capacities = new byte[CHUNK_BITS + 1][];
  private final byte[][] offsets = new byte[CHUNK_BITS + 1][];

  /** Returns how many blocks of the size fit into the mask at the same time. */
  int capacity(long mask, int blockSize) {
    int total = 0;
    for (long rest = mask; rest != 0; rest >>>= CHUNK_BITS) {
      total += chunkCapacity((int) rest & CHUNK_MASK, blockSize);
    }
    return total;
  }

  /**
   * Returns the offset of the block whose allocation causes the least fragmentation, or -1 if none
   * fits. The chunk with the fewest free accelerators is used, and in it the block that leaves room
   * for the most blocks of this size. Ties go to an aligned block, then to the one in the smallest
   * free aligned region.
   */
  int bestOffset(long mask, int blockSize) {
    int best = NO_FIT;
    int bestFree = Integer.MAX_VALUE;
    int base = 0;
    for (long rest = mask; rest != 0; rest >>>= CHUNK_BITS) {
      int chunk = (int) rest & CHUNK_MASK;
      int offset = chunkOffset(chunk, blockSize);
      if (offset >= 0 && Integer.bitCount(chunk) < bestFree) {
        bestFree = Integer.bitCount(chunk);
        best = base + offset;
      }
      base += CHUNK_BITS;
    }
    return best;
  }

  /** Returns the bit mask of a block. */
  static long blockMask(int offset, int blockSize) {
    return ((1L << blockSize) - 1) << offset;
  }

  private int chunkCapacity(int chunk, int blockSize) {
    byte[] table = table(capacities, blockSize);
    if (table[chunk] == NOT_COMPUTED) {
      table[chunk] = (byte) countBlocks(chunk, blockSize);
    }
    return table[chunk];
  }

  private int chunkOffset(int chunk, int blockSize) {
    byte[] table = table(offsets, blockSize);
    if (table[chunk] == NOT_COMPUTED) {
      table[chunk] = (byte) computeOffset(chunk, blockSize);
    }
    return table[chunk];
  }

  private static byte[] table(byte[][] tables, int blockSize) {
    if (tables[blockSize] == null) {
      tables[blockSize] = new byte[CHUNK_MASK + 1];
      Arrays.fill(tables[blockSize], NOT_COMPUTED);
    }
    return tables[blockSize];
  }

  private static int countBlocks(int chunk, int blockSize) {
    int blocks = 0;
    int runLength = 0;
    for (int bit = 0; bit < CHUNK_BITS; bit++) {
      runLength = (chunk >>> bit & 1) == 1 ? runLength + 1 : 0;
      if (runLength == blockSize) {
        blocks++;
        runLength = 0;
      }
    }
    return blocks;
  }

  private static int computeOffset(int chunk, int blockSize) {
    int best = NO_FIT;
    int bestScore = Integer.MAX_VALUE;
    for (int offset = 0; offset + blockSize <= CHUNK_BITS; offset++) {
      int block = (int) blockMask(offset, blockSize);
      if ((chunk & block) != block) {
        continue;
      }
      int score = score(chunk, block, offset, blockSize);
      if (score < bestScore) {
        bestScore = score;
        best = offset;
      }
    }
    return best;
  }

  private static int score(int chunk, int block, int offset, int blockSize) {
    int lostBlocks = countBlocks(chunk, blockSize) - 1 - countBlocks(chunk & ~block, blockSize);
    int alignment = Integer.highestOneBit(Math.max(1, 2 * blockSize - 1));
    int misalignment = offset % alignment == 0 ? 0 : 1;
    return (lostBlocks * 2 + misalignment) * (CHUNK_BITS + 1)
        + freeAlignedRegionSize(chunk, offset);
  }

  private static int freeAlignedRegionSize(int chunk, int offset) {
    int regionSize = 1;
    for (int size = 2; size <= CHUNK_BITS; size *= 2) {
      int regionMask = (int) blockMask(offset / size * size, size);
      if ((chunk & regionMask) != regionMask) {
        break;
      }
      regionSize = size;
    }
    return regionSize;
  }
}

package io.dragonflyturn.internal.ledger;

/**
 * Identifies an append, so that the store applies it once.
 *
 * @param writer the writer's name
 * @param epoch fences every writer of that name with a lower epoch
 * @param sequence the number of the append within the epoch
 */
public record AppendId(String writer, long epoch, long sequence) {}

package io.dragonflyturn.internal.ledger;

/**
 * Identifies an append, so that the store applies it at most once.
 *
 * @param writer the writer's name
 * @param epoch the writer's epoch; it fences all writers of the same name with a lower epoch
 * @param sequence the number of the append within the epoch
 */
public record AppendId(String writer, long epoch, long sequence) {}

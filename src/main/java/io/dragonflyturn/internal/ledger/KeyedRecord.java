package io.dragonflyturn.internal.ledger;

import org.jspecify.annotations.Nullable;

/**
 * A record of a compacted topic, which retains the latest value of each key.
 *
 * @param key the key
 * @param value the value; null is a tombstone that deletes the key
 */
public record KeyedRecord(String key, byte @Nullable [] value) {}

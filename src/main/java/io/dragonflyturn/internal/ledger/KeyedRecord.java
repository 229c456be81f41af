package io.dragonflyturn.internal.ledger;

import org.jspecify.annotations.Nullable;

/**
 * A record of a topic that keeps the newest value of each key.
 *
 * @param key the key
 * @param value the value; null drops the key
 */
public record KeyedRecord(String key, byte @Nullable [] value) {}

package io.dragonflyturn.internal.ledger;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;

/**
 * The status of several topics that are used together. It is as current as the least current topic.
 * The store counts as unreachable since the last contact over any of the unreachable topics.
 */
public final class CombinedStoreStatus implements StoreStatus {
  private final List<StoreStatus> topics;

  /** Creates the combined status of at least one topic. */
  public CombinedStoreStatus(StoreStatus... topics) {
    this.topics = List.of(topics);
  }

  @Override
  public boolean isLoaded() {
    return topics.stream().allMatch(StoreStatus::isLoaded);
  }

  @Override
  public boolean isReachable() {
    return topics.stream().allMatch(StoreStatus::isReachable);
  }

  @Override
  public Duration unreachableDuration() {
    return topics.stream()
        .filter(topic -> !topic.isReachable())
        .map(StoreStatus::unreachableDuration)
        .min(Comparator.naturalOrder())
        .orElse(Duration.ZERO);
  }

  @Override
  public Duration age() {
    return topics.stream()
        .map(StoreStatus::age)
        .max(Comparator.naturalOrder())
        .orElse(Duration.ZERO);
  }
}

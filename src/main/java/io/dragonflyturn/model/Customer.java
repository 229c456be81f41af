package io.dragonflyturn.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A customer with its guaranteed capacity and its quota.
 *
 * @param name the unique name
 * @param guarantees the shapes that can be reclaimed for this customer at any time, all of them at
 *     the same time
 * @param quotaAccelerators the maximum number of accelerators that the customer's jobs may hold; 0
 *     for no limit
 * @param labels the labels that selectors of placement rules match
 */
public record Customer(
    String name, List<Shape> guarantees, int quotaAccelerators, Map<String, String> labels) {
  /** Checks the name and copies the collections; null becomes an empty collection. */
  public Customer {
    Fields.require("name", name);
    guarantees = Fields.copy(guarantees);
    labels = Fields.copy(labels);
  }

  /** Creates a customer from JSON, where all fields except the name are optional. */
  @JsonCreator
  static Customer of(
      @JsonProperty("name") String name,
      @JsonProperty("guarantees") @Nullable List<Shape> guarantees,
      @JsonProperty("quotaAccelerators") @Nullable Integer quotaAccelerators,
      @JsonProperty("labels") @Nullable Map<String, String> labels) {
    int quota = quotaAccelerators == null ? 0 : quotaAccelerators;
    return new Customer(name, Fields.copy(guarantees), quota, Fields.copy(labels));
  }

  /** Returns the total number of accelerators of all guaranteed shapes. */
  public int guaranteedAccelerators() {
    return guarantees.stream().mapToInt(Shape::accelerators).sum();
  }
}

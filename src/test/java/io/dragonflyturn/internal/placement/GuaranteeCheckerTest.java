package io.dragonflyturn.internal.placement;

import static io.dragonflyturn.internal.placement.PlacementFixture.configuration;
import static io.dragonflyturn.internal.placement.PlacementFixture.customer;
import static io.dragonflyturn.internal.placement.PlacementFixture.inService;
import static io.dragonflyturn.internal.placement.PlacementFixture.workers;
import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.Shape;
import io.dragonflyturn.model.Span;
import java.util.List;
import org.junit.jupiter.api.Test;

class GuaranteeCheckerTest {
  private static final Shape RACK_OF_FOUR = new Shape(4, 8, Span.RACK);

  @Test
  void should_accept_guarantees_that_can_be_met_with_any_domain_out() {
    Configuration configuration =
        configuration(
            List.of(customer("gold", RACK_OF_FOUR), customer("silver", RACK_OF_FOUR)),
            inService("a", "b", "c"));

    assertThat(GuaranteeChecker.check(configuration, workers(3, 1, 4))).isEmpty();
  }

  @Test
  void should_report_guarantees_that_cannot_be_met_with_one_domain_out_and_name_it() {
    Configuration configuration =
        configuration(
            List.of(customer("gold", RACK_OF_FOUR, RACK_OF_FOUR), customer("silver", RACK_OF_FOUR)),
            inService("a", "b", "c"));

    assertThat(GuaranteeChecker.check(configuration, workers(3, 1, 4)))
        .isNotEmpty()
        .allSatisfy(problem -> assertThat(problem.message()).contains("with failure domain "));
  }

  @Test
  void should_report_a_shape_that_fits_no_rack_although_the_total_suffices() {
    Configuration configuration =
        configuration(
            List.of(customer("gold", new Shape(5, 8, Span.RACK))), inService("a", "b", "c"));

    assertThat(GuaranteeChecker.check(configuration, workers(3, 2, 4)))
        .singleElement()
        .satisfies(
            problem -> {
              assertThat(problem.path()).isEqualTo("customers[0].guarantees");
              assertThat(problem.message()).contains("5 members of 8 accelerators within one rack");
            });
  }
}

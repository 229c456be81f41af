package io.dragonflyturn.internal.placement;

import static io.dragonflyturn.internal.placement.PlacementFixture.configuration;
import static io.dragonflyturn.internal.placement.PlacementFixture.customer;
import static io.dragonflyturn.internal.placement.PlacementFixture.inService;
import static io.dragonflyturn.internal.placement.PlacementFixture.singleMember;
import static io.dragonflyturn.internal.placement.PlacementFixture.withRules;
import static io.dragonflyturn.internal.placement.PlacementFixture.workers;
import static org.assertj.core.api.Assertions.assertThat;

import io.dragonflyturn.model.Configuration;
import io.dragonflyturn.model.PlacementRule;
import io.dragonflyturn.model.RuleEffect;
import io.dragonflyturn.model.Worker;
import java.util.List;
import org.junit.jupiter.api.Test;

class ConfigurationValidatorTest {
  private static final List<Worker> WORKERS = workers(3, 1, 4);
  private static final Configuration VALID =
      configuration(
          List.of(customer("gold", singleMember(8)), customer("silver", singleMember(4))),
          inService("a", "b", "c"));

  @Test
  void should_accept_a_valid_configuration() {
    assertThat(ConfigurationValidator.validate(VALID, WORKERS)).isEmpty();
  }

  @Test
  void should_report_a_selector_that_matches_nothing() {
    PlacementRule rule = rule(RuleEffect.MUST, "tier=golden", "", "");

    assertThat(ConfigurationValidator.validate(withRules(VALID, rule), WORKERS))
        .extracting(ConfigurationProblem::path)
        .containsExactly("rules[0].customers");
  }

  @Test
  void should_report_a_malformed_selector_with_its_position() {
    PlacementRule rule = rule(RuleEffect.MUST, "tier=gold,,", "", "");

    assertThat(ConfigurationValidator.validate(withRules(VALID, rule), WORKERS))
        .singleElement()
        .satisfies(problem -> assertThat(problem.message()).startsWith("at character 11:"));
  }

  @Test
  void should_report_contradicting_rules_that_leave_a_customer_no_worker() {
    PlacementRule must = rule(RuleEffect.MUST, "tier=gold", "name=a", "");
    PlacementRule mustNot =
        new PlacementRule("not-a", RuleEffect.MUST_NOT, "tier=gold", "", "name=a", "");

    assertThat(ConfigurationValidator.validate(withRules(VALID, must, mustNot), WORKERS))
        .singleElement()
        .satisfies(
            problem -> assertThat(problem.message()).contains("[rule, not-a]").contains("gold"));
  }

  @Test
  void should_report_a_rule_that_leaves_a_guarantee_too_few_failure_domains() {
    PlacementRule must = rule(RuleEffect.MUST, "tier=gold", "name=a", "");

    assertThat(ConfigurationValidator.validate(withRules(VALID, must), WORKERS))
        .singleElement()
        .satisfies(problem -> assertThat(problem.message()).contains("with failure domain a out"));
  }

  private static PlacementRule rule(
      RuleEffect effect, String customers, String domains, String instances) {
    return new PlacementRule("rule", effect, customers, "", domains, instances);
  }
}

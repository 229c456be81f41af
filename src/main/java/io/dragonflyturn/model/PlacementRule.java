package io.dragonflyturn.model;

/**
 * A rule that restricts which failure domains and workers may run which jobs.
 *
 * <p>Selectors are comma-separated terms that must all match: {@code key=value}, {@code
 * key!=value}, {@code key in (a b)}, {@code key}, {@code !key}; an empty selector matches
 * everything.
 *
 * @param name the unique name
 * @param effect how the rule restricts placement
 * @param customers selects customers by label
 * @param jobs selects jobs by label
 * @param failureDomains selects failure domains by label
 * @param instances selects workers by label
 */
public record PlacementRule(
    String name,
    RuleEffect effect,
    String customers,
    String jobs,
    String failureDomains,
    String instances) {
  /** Checks required fields; null selectors become empty, so that they match everything. */
  public PlacementRule {
    Fields.require("name", name);
    Fields.require("effect", effect);
    customers = Fields.text(customers);
    jobs = Fields.text(jobs);
    failureDomains = Fields.text(failureDomains);
    instances = Fields.text(instances);
  }
}

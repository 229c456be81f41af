Feature: A failure domain is taken out in an emergency during a log outage

  Background:
    Given 3 instances and 2 workers in each of 3 failure domains

  Scenario: through every entry, with a job that waits for all workers
    When the job "first" of 6 whole workers and 4.0 seconds of work is submitted
    And the job "first" runs within 20 seconds
    And the job "waiting" of 6 whole workers and 1.0 seconds of work is submitted
    And the log stops
    And operators take "glenorchy" out in an emergency through every entry
    And callers send readings for 8 seconds
    And the log recovers
    Then the log shows within 10 seconds that "glenorchy" is taken out
    When callers send readings for 2 seconds
    And the job "elsewhere" of 3 whole workers and 1.0 seconds of work is submitted
    Then the job "elsewhere" completes within 40 seconds
    And no request or task reached "glenorchy" more than 3 seconds after the take-out
    And at least 60 requests are answered

Feature: A customer's guaranteed shape of accelerators can always be reclaimed for it

  Background:
    Given 3 instances and 2 workers in each of 3 failure domains, and 3 whole workers guaranteed

  Scenario: a job on borrowed accelerators is stopped for the guarantee
    When "brunner" submits the job "borrower" of 6 whole workers and 300.0 seconds of work
    And the job "borrower" runs within 20 seconds
    And the job "owner" of 3 whole workers and 1.0 seconds of work is submitted
    Then the job "owner" completes within 30 seconds
    And no gang ran with missing members

  Scenario: a job that may not be stopped is ended if it would occupy guaranteed accelerators
    When "brunner" submits the unstoppable job "keeper" of 4 whole workers and 300.0 seconds
    And "brunner" submits the unstoppable job "small" of 1 whole workers and 300.0 seconds
    And the job "small" runs within 20 seconds
    And the job "owner" of 3 whole workers and 1.0 seconds of work is submitted
    Then the job "owner" completes within 30 seconds
    And the job "keeper" does not run
    And the job "keeper" ends with BLOCKED_BY_GUARANTEES within 20 seconds
    And no gang ran with missing members

  Scenario: the leader is killed while a borrowing job uses all workers
    When "brunner" submits the job "borrower" of 6 whole workers and 300.0 seconds of work
    And the job "borrower" runs within 20 seconds
    And the job "owner" of 3 whole workers and 1.0 seconds of work is submitted
    And the leader is killed
    Then the job "owner" completes within 60 seconds
    And no gang ran with missing members

  Scenario: the log stops while a borrowing job uses all workers, and workers lose responses
    When "brunner" submits the job "borrower" of 6 whole workers and 300.0 seconds of work
    And the job "borrower" runs within 20 seconds
    And each worker loses the responses to its next 2 exchanges
    And the log stops
    And the log recovers
    And the job "owner" of 3 whole workers and 1.0 seconds of work is submitted
    Then the job "owner" completes within 60 seconds
    And no gang ran with missing members

Feature: All instances can be replaced in turn while requests and gangs keep running

  Background:
    Given 3 instances and 2 workers in each of 3 failure domains

  Scenario: each instance is shut down gracefully and replaced
    When the job "kept" of 3 whole workers and 300.0 seconds of work is submitted
    And the job "kept" runs within 20 seconds
    And every instance is replaced in turn under load
    Then all of their requests are answered, and none ran twice
    And at least 95 percent of them succeed on the first attempt, and no outcome is unknown
    And the job "kept" is still running its first attempt

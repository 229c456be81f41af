Feature: A gang job runs only with all of its members

  Background:
    Given 3 instances and 2 workers in each of 3 failure domains

  Scenario: a gang without faults
    When the job "whole" of 4 whole workers and 1.5 seconds of work is submitted
    Then the job "whole" completes within 30 seconds
    And no gang ran with missing members

  Scenario: the leader is killed while a gang runs
    When the job "killed" of 4 whole workers and 6.0 seconds of work is submitted
    And the job "killed" runs within 20 seconds
    And the leader is killed
    Then the job "killed" completes within 60 seconds
    And no gang ran with missing members

  Scenario: workers lose responses between reserve and run
    When each worker loses the responses to its next 2 exchanges
    And the job "unanswered" of 4 whole workers and 2.0 seconds of work is submitted
    Then the job "unanswered" completes within 60 seconds
    And no gang ran with missing members

  Scenario: workers are suspended until their leases expire, and the log stops
    When the job "lapsed" of 4 whole workers and 5.0 seconds of work is submitted
    And the job "lapsed" runs within 20 seconds
    And the workers of "glenorchy" are suspended
    And the log stops
    And the log recovers
    And the workers of "glenorchy" resume
    Then the job "lapsed" completes within 90 seconds
    And no gang ran with missing members

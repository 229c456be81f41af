Feature: A target that is leaving receives no new work after a few seconds

  Background:
    Given 3 instances and 2 workers in each of 3 failure domains

  Scenario: targets leave under load
    When the workers of "kingston" are leaving
    And callers send 40 readings
    And the job "elsewhere" of 3 whole workers and 6.0 seconds of work is submitted
    And the job "elsewhere" completes within 40 seconds
    And they have been leaving for 6 seconds
    And each request takes 200 ms
    And callers send 80 bookings
    And the job "first" of 4 whole workers and 2.0 seconds of work is submitted
    And the job "second" of 2 whole workers and 2.0 seconds of work is submitted
    Then the job "first" completes within 40 seconds
    And the job "second" completes within 40 seconds
    And at least 100 requests are answered
    And no request reached the workers of "kingston" more than 5 seconds after
    And no task started on the workers of "kingston" more than 5 seconds after

  Scenario: targets leave while an instance is disconnected from the log
    When instance 1 is disconnected from the log
    And the workers of "kingston" are leaving
    And the job "elsewhere" of 3 whole workers and 6.0 seconds of work is submitted
    And the job "elsewhere" completes within 40 seconds
    And they have been leaving for 6 seconds
    And each request takes 200 ms
    And callers send 20 readings through instance 1
    And callers send 60 bookings through instance 2
    And the job "first" of 4 whole workers and 2.0 seconds of work is submitted
    And the job "second" of 2 whole workers and 2.0 seconds of work is submitted
    Then the job "first" completes within 40 seconds
    And the job "second" completes within 40 seconds
    When the connection to the log is restored
    Then at least 50 requests are answered
    And no request reached the workers of "kingston" more than 5 seconds after
    And no task started on the workers of "kingston" more than 5 seconds after

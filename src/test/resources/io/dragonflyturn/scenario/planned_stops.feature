Feature: Every planned stop is a graceful shutdown that completes every request in flight

  Background:
    Given 3 instances and 2 workers in each of 3 failure domains

  Scenario: an instance receives SIGTERM with requests in flight
    When each request takes 800 ms
    And callers send 20 bookings through instance 1
    And at least 10 requests run
    And instance 1 receives SIGTERM
    Then instance 1 exits without an error
    And no executed request lost its response
    And every response is complete and belongs to its request
    And no booking or inspection ran twice

  Scenario: the leader receives SIGTERM while a gang runs and the log is slow
    When the job "kept" of 4 whole workers and 6.0 seconds of work is submitted
    And the job "kept" runs within 20 seconds
    And the log is slow by 200 ms
    And the leader receives SIGTERM and exits without an error
    Then the job "kept" completes within 60 seconds
    And no gang ran with missing members

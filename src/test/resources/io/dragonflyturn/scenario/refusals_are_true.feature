Feature: A request that is refused as not run was not run

  Background:
    Given 3 instances and 2 workers in each of 3 failure domains

  Scenario: the log stops and bookings with chosen keys are refused
    When the log stops
    And callers send 10 bookings
    Then at least 1 requests are refused as not run
    And no request that was refused as not run was executed

  Scenario: more requests than slots
    When each request takes 400 ms
    And callers send 200 bookings
    Then no request that was refused as not run was executed
    And no booking or inspection ran twice
    And at least 40 requests are answered

  Scenario: appends lose their responses while an instance is disconnected
    When instance 2 is disconnected from the log
    And the responses to the next 3 appends are lost
    And callers send 20 bookings through instance 1
    And callers send 20 bookings through instance 2
    And the connection to the log is restored
    Then no request that was refused as not run was executed
    And no booking or inspection ran twice

  Scenario: workers lose responses to executed requests, and bookings exceed the slots
    When each worker loses the responses to its next 5 requests
    And each request takes 200 ms
    And callers send 100 bookings
    And callers send 50 inspections
    Then no request that was refused as not run was executed
    And no booking or inspection ran twice
    And at least 40 requests are answered

  Scenario: an entry is killed with bookings in flight, and workers lose responses
    When each request takes 500 ms
    And each worker loses the responses to its next 2 requests
    And callers send 20 bookings through instance 1
    And callers send 40 bookings through instance 2
    And at least 10 requests run
    And instance 1 is killed
    Then no request that was refused as not run was executed
    And no booking or inspection ran twice
    And at least 10 requests are answered

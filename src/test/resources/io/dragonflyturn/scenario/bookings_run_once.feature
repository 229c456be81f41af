Feature: A non-idempotent booking or inspection runs at most once

  Background:
    Given 3 instances and 2 workers in each of 3 failure domains

  Scenario: each booking is sent through two entries concurrently
    When callers send each of 30 bookings through instance 1 and instance 2
    Then no booking or inspection ran twice
    And at least 30 requests are answered

  Scenario: workers lose responses
    When each worker loses the responses to its next 2 requests
    And callers send 40 bookings
    Then no booking or inspection ran twice
    And no request that was refused as not run was executed

  Scenario: an entry is killed with bookings in flight, and appends lose their responses
    When each request takes 300 ms
    And the responses to the next 2 appends are lost
    And callers send 40 bookings
    And instance 1 is killed
    Then no booking or inspection ran twice
    And no request that was refused as not run was executed

  Scenario: an entry is suspended with inspections in flight and resumes
    When each request takes 300 ms
    And callers send 20 inspections
    And instance 2 is suspended
    And callers send each of 10 bookings through instance 1 and instance 3
    And the suspended instance resumes
    Then no booking or inspection ran twice

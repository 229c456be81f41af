Feature: Every caller receives the complete response to its own request, even when responses are late or swapped

  Background:
    Given 3 instances and 2 workers in each of 3 failure domains

  Scenario: without faults
    When callers send 40 bookings
    And callers send 40 inspections
    And callers send 40 readings
    Then every caller receives the complete response to its own request

  Scenario: responses are swapped
    When each worker swaps the responses to its next 4 requests
    And callers send 60 readings
    And callers send 20 bookings
    Then every response is complete and belongs to its request

  Scenario: responses are late, and an entry is killed
    When each request takes 500 ms
    And callers send 30 readings
    And instance 3 is killed
    Then every response is complete and belongs to its request
    And at least 20 requests are answered

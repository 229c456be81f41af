Feature: Bookings with issued ids continue during a log outage and run once

  Background:
    Given 3 instances and 2 workers in each of 3 failure domains

  Scenario: the log is unavailable to all instances for 20 seconds
    When the job "kept" of 3 whole workers and 300.0 seconds of work is submitted
    And the job "kept" runs within 20 seconds
    And a caller fetches 200 ids issued by instance 1
    And the log stops
    And callers send 10 bookings per second with issued ids and with chosen keys for 20 seconds
    And the log recovers
    Then at least 95 percent of the bookings with issued ids are served
    And every booking with a key chosen by the caller is refused as not run
    And no booking is lost or duplicated, and repeating each one succeeds
    And the job "kept" is still running its first attempt

Feature: Another instance takes over soon after the leader was killed

  Scenario: the leader is killed repeatedly
    Given 3 instances and 2 workers in each of 3 failure domains
    Then the leader is killed 4 times and each time the next decision follows within 3000 ms

  Scenario: the leader is killed repeatedly with default leases
    Given 3 instances with default leases and 2 workers in each of 3 failure domains
    Then the leader is killed 4 times and each time the next decision follows within 3000 ms

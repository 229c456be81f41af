Feature: An accepted configuration is active everywhere within seconds and never reverts

  Background:
    Given 3 instances and 2 workers in each of 3 failure domains

  Scenario: two operators race
    When two operators change the same version through instance 1 and instance 2
    Then exactly one of them is accepted
    And the accepted configuration is active everywhere within 5 seconds
    And no instance shows an older configuration

  Scenario: the append loses its response
    When the responses to the next 1 appends are lost
    And an operator changes the configuration
    Then the accepted configuration is active everywhere within 10 seconds
    And no instance shows an older configuration

  Scenario: the leader is killed after the change, and another instance was disconnected
    When instance 2 is disconnected from the log
    And an operator changes the configuration
    And the connection to the log is restored
    And the leader is killed
    Then the accepted configuration is active everywhere within 10 seconds
    And no instance shows an older configuration

@gates
Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Scenario: A change is in force everywhere within two seconds
    When a change is applied at "x-0"
    Then it is in force at every instance within 2 seconds

  Scenario: Two operators change the configuration concurrently
    When two operators apply different changes to the same revision
    Then one is applied and the other is rejected with the applied change

  Scenario: The response to a commit is lost
    When a change is applied at "x-0" and the platform loses the response
    Then it was applied once, and a retry reports the same revision

  Scenario: An instance is suspended during ten revisions
    When instance "y-1" is suspended while 10 changes are applied
    Then it is in force at every instance within 10 seconds

  Scenario: A data centre is disconnected from the platform but not from its peers
    When "y" is disconnected from the platform and a change is applied at "x-0"
    Then it is in force at every instance within 4 seconds
    And the platform connection is restored

  Scenario: A disconnected data centre continues to serve and catches up after reconnection
    Given calls are sent continuously
    When "y" is disconnected from the platform and the peers and a change is applied at "x-0"
    Then "y" continues to serve at its old revision
    And after reconnection it is in force at every instance within 10 seconds
    And the history has no violation

  Scenario: A new instance starts while the platform is unavailable
    When the platform is unavailable and a new instance of "x" starts
    Then it serves at the highest revision of its peers
    And it completes a request

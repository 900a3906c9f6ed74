@gates
Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Scenario: A change is in force everywhere within two seconds
    When a change is applied at "x-0"
    Then it is in force at every instance within 2 seconds

  Scenario: Two operators race
    When two operators apply different changes on one revision
    Then one is applied and the other is shown its change

  Scenario: The answer to a commit is lost
    When a change is applied at "x-0" and the platform loses the answer
    Then it was applied once, and asking again says so

  Scenario: An instance is frozen over ten revisions
    When instance "y-1" is frozen while 10 changes are applied
    Then it is in force at every instance within 10 seconds

  Scenario: A data centre is cut off from the platform and not from its peers
    When "y" is cut off from the platform and a change is applied at "x-0"
    Then it is in force at every instance within 4 seconds
    And the platform is reached again

  Scenario: A data centre is cut off from both, serves on, and follows at its return
    Given calls run all the while
    When "y" is cut off from the platform and the peers and a change is applied at "x-0"
    Then "y" serves on at its old revision
    And after the return it is in force at every instance within 10 seconds
    And the history holds no fault

  Scenario: A fresh instance starts while the platform is down
    When the platform is down and a fresh instance of "x" starts
    Then it serves at the highest revision of its peers
    And it answers a request

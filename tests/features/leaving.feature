@lagging_list
Feature: A leaving upstream receives no new requests after a few seconds

  Scenario: An engine announces that it is leaving while the instance list still shows it live
    Given calls are sent continuously
    When engine "y-engine1" announces that it is leaving
    Then it receives no new request later than 2 seconds after
    And every model is ready again
    And the history has no violation

  Scenario: The engine restarts with a new boot id
    When engine "y-engine1" restarts
    Then it serves models again

  Scenario: A plain service leaves
    Given calls are sent continuously
    When service "x-booking0" announces that it is leaving
    Then it receives no new request later than 2 seconds after
    And the history has no violation

@lagging_list
Feature: A leaving upstream gets no new work after a few seconds

  Scenario: An engine says that it leaves while the list still shows it live
    Given calls run all the while
    When engine "y-engine1" says that it leaves
    Then it gets no new request later than 2 seconds after
    And every model is ready again
    And the history holds no fault

  Scenario: It comes back with a new boot id
    When engine "y-engine1" restarts
    Then it is used again

  Scenario: A plain service leaves
    Given calls run all the while
    When service "x-booking0" says that it leaves
    Then it gets no new request later than 2 seconds after
    And the history holds no fault

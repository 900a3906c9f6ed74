Feature: A planned stop cuts off no request in flight

  Scenario: Every instance is stopped and replaced in turn under load
    Given calls run all the while
    When every instance is stopped as planned and replaced in turn
    Then no call was dropped or refused a connection
    And every exit code was 0
    And the history holds no fault
